/** Splits text into parts of at most `maxBytes` bytes of UTF-8, without splitting a character. */
export function splitContent(content: string, maxBytes: number): string[] {
    const bytes = Buffer.from(content);
    const parts: string[] = [];
    for (let start = 0; start < bytes.length;) {
        let end = Math.min(start + maxBytes, bytes.length);
        while (end < bytes.length && isContinuationByte(bytes[end])) {
            end--;
        }
        parts.push(bytes.toString("utf8", start, end));
        start = end;
    }
    return parts;
}

function isContinuationByte(byte: number | undefined): boolean {
    return byte !== undefined && (byte & 0xc0) === 0x80;
}
