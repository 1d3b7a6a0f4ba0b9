import { err, ok, type Result } from "neverthrow";
import type { ResponseFault } from "./responseFault.js";

/**
 * Name, colon, value and end of a line (RFC 9112, section 5); neither part may hold control characters. No two parts can match the
 * same characters, so that the time is linear in the length.
 */
const FIELD_PATTERN = /([!#$%&'*+\-.^_`|~0-9A-Za-z]+):([\t\x20-\x7e\x80-\xff]*)\r\n/y;

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
        fields.push(match[1] as string, trimSpace(match[2] as string));
    }
    return ok(fields);
}

/** Removes spaces and tabs at both ends, and no other white space, which is part of the value. */
function trimSpace(value: string): string {
    let start = 0;
    let end = value.length;
    while (start < end && isSpace(value, start)) {
        start++;
    }
    while (end > start && isSpace(value, end - 1)) {
        end--;
    }
    return value.slice(start, end);
}

function isSpace(text: string, index: number): boolean {
    return text[index] === " " || text[index] === "\t";
}
