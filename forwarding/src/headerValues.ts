/** Returns all values of a header from a list of alternating names and values; `name` must be in lower case. */
export function headerValues(headers: readonly string[], name: string): string[] {
    const values: string[] = [];
    for (let i = 0; i + 1 < headers.length; i += 2) {
        const header = headers[i] as string;
        if (header.length === name.length && header.toLowerCase() === name) {
            values.push(headers[i + 1] as string);
        }
    }
    return values;
}
