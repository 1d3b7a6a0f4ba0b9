/** Position in a text file; line and column start at 1. */
export interface FilePosition {
    readonly line: number;
    readonly column: number;
}
