import type { FilePosition } from "./filePosition.js";

/** Converts an offset in UTF-16 code units to a line and a column. */
export function locateOffset(text: string, offset: number): FilePosition {
    const before = text.slice(0, offset);
    const lineStart = before.lastIndexOf("\n") + 1;
    return { line: before.split("\n").length, column: offset - lineStart + 1 };
}
