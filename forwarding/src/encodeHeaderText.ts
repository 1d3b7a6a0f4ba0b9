/**
 * Encodes text for the value of a header: as UTF-8, with one character for each byte, which is the form of all headers here.
 *
 * @param text One that `isHeaderText` accepts; the recipient reads another one otherwise.
 */
export function encodeHeaderText(text: string): string {
    return Buffer.from(text, "utf8").toString("latin1");
}
