import { BlockList, parseBlock } from "@pistachioreel/lookup";
import type { Failure } from "@pistachioreel/result-code";
import { CsvError, type Info, parse } from "csv-parse/sync";
import { err, ok, type Result } from "neverthrow";
import { fieldFailure } from "./fieldFailure.js";

interface BlockMap {
    /** Blocks of each address family, sorted by start address and prefix length. */
    readonly ipv4: BlockList;
    readonly ipv6: BlockList;
}

interface BlockMapOptions {
    /** Names of the sites that the rules define; any other site is a failure. If absent, all sites are accepted. */
    readonly sites?: readonly string[];
}

interface FamilyBlocks {
    readonly blocks: BlockList;
    /** Line number of each block, in the order of the file. */
    readonly lines: number[];
}

const COLUMNS = ["block", "site"] as const;
/** Bounds the output if every one of two million lines is invalid, for example after an export in a wrong format. */
const MAX_FAILURES = 100;

/**
 * Parses the map of client blocks: CSV with the columns `block` (CIDR) and `site`. Other columns are ignored.
 *
 * @param file Name of the file in error messages.
 * @returns The blocks, or the first 100 failures with their positions.
 */
export function parseBlockMap(file: string, text: string, opts: BlockMapOptions = {}): Result<BlockMap, Failure[]> {
    const header = text.slice(text.startsWith("\ufeff") ? 1 : 0, text.search(/\r?\n|$/)).split(",");
    const columns = header.map(column => column.trim().replace(/^"(.*)"$/, "$1"));
    const missing = COLUMNS.filter(column => !columns.includes(column));
    if (missing.length > 0) {
        return err(missing.map(column => missingColumnFailure(file, column, columns)));
    }
    const builder = new BlockMapBuilder(file, columns, opts.sites && new Set(opts.sites));
    const read = readRows(file, text, (row, line) => builder.addRow(row, line));
    return read.isErr() ? err([read.error]) : builder.build();
}

type Row = Record<(typeof COLUMNS)[number], string>;

function readRows(file: string, text: string, onRow: (row: Row, line: number) => void): Result<void, Failure> {
    try {
        parse(text, {
            bom: true,
            columns: true,
            info: true,
            skip_empty_lines: true,
            trim: true,
            // Discarding each record after processing saves 1 GB of memory at two million blocks.
            on_record: (row: unknown) => {
                const { record, info } = row as { record: Row; info: Info; };
                onRow(record, info.lines);
                return undefined;
            },
        });
        return ok(undefined);
    }
    catch (error) {
        const line = error instanceof CsvError && typeof error["lines"] === "number" ? error["lines"] : 1;
        const found = error instanceof Error ? error.message : String(error);
        const accepted = "CSV with a header";
        return err(fieldFailure("syntaxInvalid", { file, line, column: 1, field: "row", found, accepted }));
    }
}

/** Collects the blocks and failures of all rows. */
class BlockMapBuilder {
    private readonly failures: Failure[] = [];
    private readonly families: Record<1 | 4, FamilyBlocks> = {
        1: { blocks: new BlockList(1), lines: [] },
        4: { blocks: new BlockList(4), lines: [] },
    };

    constructor(
        private readonly file: string,
        private readonly columns: readonly string[],
        private readonly sites: ReadonlySet<string> | undefined,
    ) {}

    addRow({ block: text, site }: Row, line: number): void {
        const block = parseBlock(text);
        if (block === undefined) {
            const accepted = "an IPv4 or IPv6 block such as 192.0.2.0/24, with no bits set after its prefix";
            this.addFailure("fieldInvalid", line, "block", text, accepted);
            return;
        }
        if (site === "") {
            this.addFailure("fieldInvalid", line, "site", site, "the name of a site");
            return;
        }
        if (this.sites !== undefined && !this.sites.has(site)) {
            this.addFailure(
                "referenceUnknown",
                line,
                "site",
                site,
                "a site of the `sites` section of the rules in force",
            );
            return;
        }
        const family = this.families[block.address.length as 1 | 4];
        family.blocks.add(block.address, block.length, site);
        family.lines.push(line);
    }

    /** Sorts the blocks and reports duplicates. Returns the map, or the failures of all rows. */
    build(): Result<BlockMap, Failure[]> {
        Object.values(this.families).forEach(family => this.sortAndCheckDuplicates(family));
        const [ipv4, ipv6] = [this.families[1].blocks, this.families[4].blocks];
        return this.failures.length > 0 ? err(this.failures) : ok({ ipv4, ipv6 });
    }

    private sortAndCheckDuplicates({ blocks, lines }: FamilyBlocks): void {
        const order = blocks.sort();
        for (let block = 1; block < blocks.size; block++) {
            if (blocks.compare(block - 1, block) === 0) {
                const [firstLine, secondLine] = [order[block - 1], order[block]].map(index =>
                    lines[index as number] as number
                );
                const found = `the block of line ${firstLine} again`;
                this.addFailure("duplicateEntry", secondLine as number, "block", found, "each block once");
            }
        }
    }

    private addFailure(code: Failure["code"], line: number, field: string, found: string, accepted: string): void {
        if (this.failures.length < MAX_FAILURES) {
            const position = { file: this.file, line, column: this.columns.indexOf(field) + 1 };
            const quoted = code === "duplicateEntry" ? found : JSON.stringify(found);
            this.failures.push(fieldFailure(code, { ...position, field, found: quoted, accepted }));
        }
    }
}

function missingColumnFailure(file: string, column: string, columns: readonly string[]): Failure {
    const found = `the columns ${columns.join(", ")}`;
    const accepted = `a column named ${column}`;
    return fieldFailure("fieldMissing", { file, line: 1, column: 1, field: column, found, accepted });
}
