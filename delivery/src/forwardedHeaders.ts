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

/** Headers by which pistachioreel itself speaks to callers; a target's own must not be taken for them. */
const REMOVED_FROM_RESPONSES = new Set([...HOP_BY_HOP_HEADERS, "x-not-run", "x-request-id", "x-result-code"]);

/** Alternating names and values, as in `IncomingMessage.rawHeaders`. */
type RawHeaders = readonly string[];

/**
 * Headers of a request for the target. Headers that only matter between two hops, those that pistachioreel sets itself
 * and every header that contains the caller's key are removed.
 */
export function forwardedHeaders(raw: RawHeaders, key: string | undefined): string[] {
    return endToEndHeaders(raw, REMOVED_FROM_REQUESTS, value => key === undefined || !value.includes(key));
}

/** Headers of a response for the caller, without those that only matter between two hops or are set by pistachioreel. */
export function returnedHeaders(raw: RawHeaders): string[] {
    return endToEndHeaders(raw, REMOVED_FROM_RESPONSES, () => true);
}
