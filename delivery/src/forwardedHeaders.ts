const HOP_BY_HOP = new Set([
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
]);
const REMOVED_FROM_REQUESTS = new Set([
    ...HOP_BY_HOP,
    "authorization",
    "expect",
    "host",
    "idempotency-key",
    "x-deadline-ms",
    "x-request-id",
    "x-workspace",
]);

/** Headers by which pistachioreel itself speaks to callers; a target's own must not be taken for them. */
const REMOVED_FROM_RESPONSES = new Set([...HOP_BY_HOP, "x-not-run", "x-request-id", "x-result-code"]);

/** Alternating names and values, as in `IncomingMessage.rawHeaders`. */
type RawHeaders = readonly string[];

/**
 * Headers of a request for the target. Headers that only matter between two hops, those that pistachioreel sets itself
 * and every header that contains the caller's key are removed.
 */
export function forwardedHeaders(raw: RawHeaders, key: string | undefined): string[] {
    return filterHeaders(raw, REMOVED_FROM_REQUESTS, value => key === undefined || !value.includes(key));
}

/** Headers of a response for the caller, without those that only matter between two hops or are set by pistachioreel. */
export function returnedHeaders(raw: RawHeaders): string[] {
    return filterHeaders(raw, REMOVED_FROM_RESPONSES, () => true);
}

function filterHeaders(raw: RawHeaders, removed: ReadonlySet<string>, accepts: (value: string) => boolean): string[] {
    const named = connectionHeaders(raw);
    const kept: string[] = [];
    for (let i = 0; i + 1 < raw.length; i += 2) {
        const name = raw[i] as string;
        const value = raw[i + 1] as string;
        const lowerName = name.toLowerCase();
        if (!removed.has(lowerName) && !named.has(lowerName) && accepts(value)) {
            kept.push(name, value);
        }
    }
    return kept;
}

/** Names that the `Connection` header declares as hop by hop. */
function connectionHeaders(raw: RawHeaders): Set<string> {
    const names = new Set<string>();
    for (let i = 0; i + 1 < raw.length; i += 2) {
        if (raw[i]?.toLowerCase() === "connection") {
            raw[i + 1]?.split(",").forEach(name => names.add(name.trim().toLowerCase()));
        }
    }
    return names;
}
