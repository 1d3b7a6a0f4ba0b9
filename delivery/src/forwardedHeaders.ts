import { endToEndHeaders, HOP_BY_HOP_HEADERS } from "@pistachioreel/forwarding";

const REMOVED_FROM_REQUESTS = new Set([
    ...HOP_BY_HOP_HEADERS,
    "authorization",
    "expect",
    "host",
    "idempotency-key",
    "x-deadline-ms",
    "x-request-id",
    "x-workspace",
]);

/** Headers that pistachioreel itself sets for callers; a target's own must not be mistaken for them. */
const REMOVED_FROM_RESPONSES = new Set([...HOP_BY_HOP_HEADERS, "x-not-run", "x-request-id", "x-result-code"]);

/** Alternating names and values, as in `IncomingMessage.rawHeaders`. */
type RawHeaders = readonly string[];

/**
 * Headers of a request to forward to the target. Hop-by-hop headers, those that pistachioreel sets itself and every
 * header that contains the caller's key are removed.
 */
export function forwardedHeaders(raw: RawHeaders, key: string | undefined): string[] {
    return endToEndHeaders(raw, REMOVED_FROM_REQUESTS, value => key === undefined || !value.includes(key));
}

/** Headers of a response for the caller, without hop-by-hop headers and those that pistachioreel sets itself. */
export function returnedHeaders(raw: RawHeaders): string[] {
    return endToEndHeaders(raw, REMOVED_FROM_RESPONSES, () => true);
}
