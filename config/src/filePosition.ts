/** Place in a file, both counted from 1. */
export interface FilePosition {
    readonly line: number;
    readonly column: number;
}
