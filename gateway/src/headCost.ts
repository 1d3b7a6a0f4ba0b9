/** Memory of one header field: its name twice, its value, and their entries in two lists. */
const FIELD_BYTES = 200;
const LINE_FEED = 10;

/** Memory in bytes that a head, or a part of one, needs once it has been parsed. Very short fields need a multiple of their bytes. */
export function headCost(head: Buffer): number {
    let lines = 0;
    for (let at = head.indexOf(LINE_FEED); at >= 0; at = head.indexOf(LINE_FEED, at + 1)) {
        lines++;
    }
    return head.length + lines * FIELD_BYTES;
}
