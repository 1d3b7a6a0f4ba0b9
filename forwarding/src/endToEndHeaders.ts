/**
 * Returns the headers to forward: all except those in `removed`, those that `Connection` lists as hop-by-hop, and those
 * whose value is not accepted.
 *
 * @param raw Alternating names and values, as in `IncomingMessage.rawHeaders`.
 * @param removed Names in lower case.
 */
export function endToEndHeaders(
    raw: readonly string[],
    removed: ReadonlySet<string>,
    acceptsValue: (value: string) => boolean,
): string[] {
    const hopByHop = connectionOptions(raw);
    const kept: string[] = [];
    for (let i = 0; i + 1 < raw.length; i += 2) {
        const name = raw[i] as string;
        const value = raw[i + 1] as string;
        const lowerName = name.toLowerCase();
        if (!removed.has(lowerName) && !hopByHop.has(lowerName) && acceptsValue(value)) {
            kept.push(name, value);
        }
    }
    return kept;
}

/** Names that the `Connection` header lists as hop-by-hop, in lower case. */
function connectionOptions(raw: readonly string[]): Set<string> {
    const names = new Set<string>();
    for (let i = 0; i + 1 < raw.length; i += 2) {
        if (raw[i]?.toLowerCase() === "connection") {
            raw[i + 1]?.split(",").forEach(name => names.add(name.trim().toLowerCase()));
        }
    }
    return names;
}
