import { headerValue } from "./headerValue.js";
import { parseHeaderFields } from "./parseHeaderFields.js";
import { parseResponseHead } from "./parseResponseHead.js";
import type { ResponseHead } from "./responseHead.js";

interface OtherResponseOptions {
    /** Bytes that arrived with the end of the body and do not belong to it. */
    readonly surplus: Buffer;
    /** Whether the body has no length and ended with its connection. */
    readonly isUnframed: boolean;
    /** Whether further bytes of the body follow, in which a head may continue; false by default. */
    readonly continues?: boolean;
    /** Whether a head names a request, and is therefore one that a target has sent and no text about HTTP. */
    readonly namesRequest: (head: ResponseHead) => boolean;
}

const VERSION_PREFIX = Buffer.from("HTTP/1.");
const HEAD_END = Buffer.from("\r\n\r\n");
const LINE_END = "\r\n";
const EMPTY_LINE = "\r\n\r\n";
const DIGIT_ZERO = 0x30;
const DIGIT_ONE = 0x31;
const SPACE = 0x20;
/** Bytes in which a status line and the name of the first field are expected. */
const PREVIEW_BYTES = 512;
/** A status line and the start of a field, each of which may be cut off at the end. */
const LINES_START_PATTERN =
    /^HTTP\/1\.[01] [1-5](?:\d?$|\d\d(?: [A-Za-z' -]*)?$|\d\d [^\r\n]*\r(?:$|\n(?:$|\r|[!#$%&'*+\-.^_`|~\w]+(?:$|:))))/;
const MAX_HEAD_BYTES = 80 * 1024;
/** Versions that are looked at, the last ones first, as the other response ends the body. */
const MAX_VERSIONS = 10_000;
/** Heads may be examined for this many bytes for each byte of the body, as those that overlap are no text about HTTP. */
const MAX_EXAMINED_RATIO = 4;
const MIN_EXAMINED_BYTES = 64 * 1024;

/**
 * Whether the bytes of a body end with those of another response: a target that truncates a response and sends a second one on the
 * same connection fills the first one's length with it, or appends it to a body without a length.
 */
export function holdsOtherResponse(body: Buffer, opts: OtherResponseOptions): boolean {
    let examinableBytes = MIN_EXAMINED_BYTES + MAX_EXAMINED_RATIO * body.length;
    let at = lastIndexOfVersion(body, opts.surplus);
    for (let count = 0; at !== -1 && count < MAX_VERSIONS; count++) {
        const text = mayBeStatusLine(body, at + VERSION_PREFIX.length) ? headAt(body, opts.surplus, at) : "";
        examinableBytes -= text.length;
        if (examinableBytes < 0 || isOtherHead(text, body.length - at, opts)) {
            return true;
        }
        at = at === 0 ? -1 : body.lastIndexOf(VERSION_PREFIX, at - 1);
    }
    return false;
}

/** Whether a minor version and a space may follow, of which the body may end before. Passes over most text about HTTP. */
function mayBeStatusLine(body: Buffer, at: number): boolean {
    return at + 1 >= body.length || (body[at] === DIGIT_ZERO || body[at] === DIGIT_ONE) && body[at + 1] === SPACE;
}

/** Offset of the last version that starts in the body; its end may be in the surplus. */
function lastIndexOfVersion(body: Buffer, surplus: Buffer): number {
    const seamStart = Math.max(0, body.length - VERSION_PREFIX.length + 1);
    const seam = Buffer.concat([body.subarray(seamStart), surplus.subarray(0, VERSION_PREFIX.length - 1)]);
    const foundInSeam = seam.indexOf(VERSION_PREFIX);
    return foundInSeam === -1 ? body.lastIndexOf(VERSION_PREFIX) : seamStart + foundInSeam;
}

/** The lines of a head without the empty one, or as many as there are; empty if the bytes are no start of a head. */
function headAt(body: Buffer, surplus: Buffer, at: number): string {
    const inBody = body.subarray(at, at + MAX_HEAD_BYTES);
    const bytes = surplus.length === 0 || inBody.length === MAX_HEAD_BYTES
        ? inBody
        : Buffer.concat([inBody, surplus.subarray(0, MAX_HEAD_BYTES - inBody.length)]);
    if (!LINES_START_PATTERN.test(bytes.toString("latin1", 0, PREVIEW_BYTES))) {
        return "";
    }
    const headEnd = bytes.indexOf(HEAD_END);
    return bytes.toString("latin1", 0, headEnd === -1 ? bytes.length : headEnd + HEAD_END.length);
}

/**
 * Whether a head starts the other response.
 *
 * @param restBytes Bytes of the body from the start of the head on.
 */
function isOtherHead(text: string, restBytes: number, opts: OtherResponseOptions): boolean {
    if (!text.endsWith(EMPTY_LINE)) {
        return text !== "" && opts.continues !== true && isPartialHead(text, opts);
    }
    const parsed = parseResponseHead(text.slice(0, -LINE_END.length));
    return parsed.isOk() && opts.namesRequest(parsed.value) &&
        (opts.continues === true || reachesEnd(parsed.value, restBytes - text.length));
}

/** Whether a message reaches the end of the body that it is found in. One that ends before is a part of that body. */
function reachesEnd({ headers }: ResponseHead, restBytes: number): boolean {
    const length = headerValue(headers, "content-length");
    return length === undefined || !(Number(length) < restBytes);
}

/** Whether the text is the start of a head that ends with the body, as it does where the stated length was reached within the head. */
function isPartialHead(text: string, { surplus, isUnframed }: OtherResponseOptions): boolean {
    const firstLineEnd = text.indexOf(LINE_END);
    // A text about HTTP may end with a status line.
    if (firstLineEnd === -1 || firstLineEnd + LINE_END.length === text.length) {
        return surplus.length > 0 || isUnframed;
    }
    if (text.length >= MAX_HEAD_BYTES || parseResponseHead(text.slice(0, firstLineEnd + LINE_END.length)).isErr()) {
        return false;
    }
    const fields = text.slice(firstLineEnd + LINE_END.length, text.lastIndexOf(LINE_END) + LINE_END.length);
    return parseHeaderFields(fields, { maxFields: Infinity }).isOk();
}
