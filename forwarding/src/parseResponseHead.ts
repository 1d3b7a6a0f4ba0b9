import { err, type Result } from "neverthrow";
import { parseHeaderFields } from "./parseHeaderFields.js";
import type { ResponseFault } from "./responseFault.js";
import type { ResponseHead } from "./responseHead.js";

/** Version, status and reason (RFC 9112, section 4); the space before an empty reason is required. */
const STATUS_LINE_PATTERN = /^HTTP\/1\.([01]) ([1-5]\d\d) [\t\x20-\x7e\x80-\xff]*\r\n/;
const VERSION_PREFIX = "HTTP/1.";
/** A status line within a reason or a value: a head that was cut short is followed by another one. */
const OTHER_STATUS_LINE_PATTERN = /.HTTP\/1\.[01] [1-5]\d\d [A-Za-z' -]*\r\n/;
const MAX_FIELDS = 1_000;

/**
 * Parses the lines of a head, without the empty one at its end, as Latin-1 text.
 *
 * Faults: `statusLine`, `headerField`, `fieldCount` and `otherResponse`.
 */
export function parseResponseHead(text: string): Result<ResponseHead, ResponseFault> {
    const match = STATUS_LINE_PATTERN.exec(text);
    if (match === null) {
        return err("statusLine");
    }
    if (text.includes(VERSION_PREFIX, VERSION_PREFIX.length) && OTHER_STATUS_LINE_PATTERN.test(text)) {
        return err("otherResponse");
    }
    return parseHeaderFields(text, { offset: match[0].length, maxFields: MAX_FIELDS })
        .map(headers => ({ status: Number(match[2]), minorVersion: Number(match[1]), headers }));
}
