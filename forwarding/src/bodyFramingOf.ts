import { err, ok, type Result } from "neverthrow";
import type { BodyFraming } from "./bodyFraming.js";
import { headerValues } from "./headerValues.js";
import type { ResponseFault } from "./responseFault.js";
import type { ResponseHead } from "./responseHead.js";

/** Longer numbers could not be represented exactly. */
const LENGTH_PATTERN = /^\d{1,15}$/;

/**
 * Finds how the body of a response is delimited (RFC 9112, section 6.3). A head that states its length in two ways is
 * malformed, even if both agree, since another reader could find another end.
 *
 * @param method Method of the request.
 *
 * Faults: `length` and `transferEncoding`.
 */
export function bodyFramingOf(head: ResponseHead, method: string): Result<BodyFraming, ResponseFault> {
    const lengths = headerValues(head.headers, "content-length");
    const encodings = headerValues(head.headers, "transfer-encoding");
    const [length] = lengths;
    if (lengths.length > 1 || (length !== undefined && !LENGTH_PATTERN.test(length))) {
        return err("length");
    }
    if (encodings.length > 0 && !isOnlyChunked(encodings, lengths, head)) {
        return err("transferEncoding");
    }
    if (isBodiless(head.status, method)) {
        return ok({ kind: "none" });
    }
    if (encodings.length > 0) {
        return ok({ kind: "chunked" });
    }
    return ok(length === undefined ? { kind: "unframed" } : { kind: "sized", length: Number(length) });
}

/** Chunks are the only transfer encoding that requests accept, and HTTP/1.0 has none. */
function isOnlyChunked(encodings: readonly string[], lengths: readonly string[], { minorVersion }: ResponseHead) {
    const [encoding] = encodings;
    return encodings.length === 1 && encoding?.toLowerCase() === "chunked" && lengths.length === 0 &&
        minorVersion > 0;
}

function isBodiless(status: number, method: string): boolean {
    return method === "HEAD" || status < 200 || status === 204 || status === 304;
}
