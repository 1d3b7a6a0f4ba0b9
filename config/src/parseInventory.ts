import type { Failure } from "@pistachioreel/result-code";
import { CsvError, type Info, parse } from "csv-parse/sync";
import { err, ok, type Result } from "neverthrow";
import { fieldFailure } from "./fieldFailure.js";
import { inventoryRowSchema, type Target } from "./inventory.js";

type Row = Record<string, string>;

interface RowRecord {
    readonly record: Row;
    readonly info: Info;
}

/**
 * Parses the CSV export of an asset register, one row per target. Unknown columns are ignored.
 *
 * @param file Name of the file in error messages.
 * @returns The targets, or all failures with their positions.
 */
export function parseInventory(file: string, text: string): Result<Target[], Failure[]> {
    const rows = readRows(file, text);
    if (rows.isErr()) {
        return err([rows.error]);
    }
    const header = (text.split("\n")[0] ?? "").split(",").map(column => column.trim());
    const missing = Object.keys(inventoryRowSchema.shape).filter(column => !header.includes(column));
    if (missing.length > 0) {
        return err(missing.map(column => missingColumnFailure(file, column, header)));
    }
    return checkRows(file, header, rows.value);
}

function readRows(file: string, text: string): Result<RowRecord[], Failure> {
    try {
        const opts = { bom: true, columns: true, info: true, skip_empty_lines: true, trim: true } as const;
        return ok(parse(text, opts) as unknown as RowRecord[]);
    }
    catch (error) {
        const line = error instanceof CsvError && typeof error["lines"] === "number" ? error["lines"] : 1;
        const found = error instanceof Error ? error.message : String(error);
        return err(
            fieldFailure("syntaxInvalid", {
                file,
                line,
                column: 1,
                field: "row",
                found,
                accepted: "CSV with a header",
            }),
        );
    }
}

function missingColumnFailure(file: string, column: string, header: readonly string[]): Failure {
    return fieldFailure("fieldMissing", {
        file,
        line: 1,
        column: 1,
        field: column,
        found: `the columns ${header.join(", ")}`,
        accepted: `a column named ${column}`,
    });
}

function checkRows(file: string, header: readonly string[], rows: readonly RowRecord[]): Result<Target[], Failure[]> {
    const failures: Failure[] = [];
    const targets = new Map<string, Target>();
    for (const { record, info } of rows) {
        const position = { file, line: info.lines };
        const checked = inventoryRowSchema.safeParse(record);
        if (!checked.success) {
            failures.push(...checked.error.issues.map(issue => {
                const field = String(issue.path[0]);
                const column = header.indexOf(field) + 1;
                const found = JSON.stringify(record[field]);
                return fieldFailure("fieldInvalid", { ...position, column, field, found, accepted: issue.message });
            }));
            continue;
        }
        const { availability_zone: availabilityZone, ...fields } = checked.data;
        const id = fields.address.includes(":")
            ? `[${fields.address}]:${fields.port}`
            : `${fields.address}:${fields.port}`;
        if (targets.has(id)) {
            const accepted = "each address and port once";
            failures.push(
                fieldFailure("duplicateEntry", { ...position, column: 1, field: "address", found: id, accepted }),
            );
        }
        targets.set(id, { id, ...fields, availabilityZone });
    }
    return failures.length > 0 ? err(failures) : ok([...targets.values()]);
}
