/** Pieces of any size that a body may have. */
const MIN_LIMIT = 4_096;
/** Beyond that, a body may have one piece for this many bytes. */
const MIN_MEAN_BYTES = 16;

/**
 * Counts the pieces in which a body arrives. Each piece costs processor time of its own, so that a body in very many of them would
 * keep a process busy for few bytes.
 */
export class PieceCount {
    private pieces = 0;
    private bytes = 0;

    /** Adds a piece; returns whether the body has too many for its size. */
    add(bytes: number): boolean {
        this.pieces++;
        this.bytes += bytes;
        return this.pieces > MIN_LIMIT + this.bytes / MIN_MEAN_BYTES;
    }
}
