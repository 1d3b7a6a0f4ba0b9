/** Returns the first value of a header from a list of alternating names and values; `name` must be in lower case. */
export function headerValue(headers: readonly string[], name: string): string | undefined {
    for (let i = 0; i + 1 < headers.length; i += 2) {
        if (headers[i]?.toLowerCase() === name) {
            return headers[i + 1];
        }
    }
    return undefined;
}
