import { isUtf8 } from "node:buffer";

/**
 * Decodes text that a caller has written into a head, which has one character for each byte: as UTF-8, or as Latin-1, which some
 * clients write, if it is not valid UTF-8.
 */
export function decodeHeaderText(head: string): string {
    const bytes = Buffer.from(head, "latin1");
    return isUtf8(bytes) ? bytes.toString("utf8") : head;
}
