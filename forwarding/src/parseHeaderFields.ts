import { err, ok, type Result } from "neverthrow";
import type { ResponseFault } from "./responseFault.js";

/** Name, colon, value and end of a line (RFC 9112, section 5); neither part may hold control characters. */
const FIELD_PATTERN = /([!#$%&'*+\-.^_`|~0-9A-Za-z]+):[ \t]*([\t\x20-\x7e\x80-\xff]*)\r\n/y;
const TRAILING_SPACE_PATTERN = /[ \t]+$/;

/**
 * Splits the lines of a head or trailer from an offset on into alternating names and values. Lines that continue a header are
 * malformed, as most readers no longer support them.
 *
 * Faults: `headerField`, and `fieldCount` if there are more than `maxFields`.
 */
export function parseHeaderFields(
    text: string,
    { offset = 0, maxFields }: { offset?: number; maxFields: number; },
): Result<string[], ResponseFault> {
    const fields: string[] = [];
    FIELD_PATTERN.lastIndex = offset;
    for (let end = offset; end < text.length; end = FIELD_PATTERN.lastIndex) {
        const match = FIELD_PATTERN.exec(text);
        if (match === null) {
            return err("headerField");
        }
        if (fields.length >= 2 * maxFields) {
            return err("fieldCount");
        }
        const value = match[2] as string;
        fields.push(match[1] as string, value.replace(TRAILING_SPACE_PATTERN, ""));
    }
    return ok(fields);
}
