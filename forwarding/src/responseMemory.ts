interface ResponseMemoryOptions {
    /** Most bytes that large response bodies may use together while they are being read. */
    readonly maxBytes: number;
}

/** A body up to this size is not counted: limits on connections bound the number of such bodies. */
const UNCOUNTED_BYTES = 256 * 1024;

/**
 * Memory of the response bodies that are being read. Bodies that are larger than most share a limit, so that targets that
 * send without end cannot use up the memory of the process, while usual responses are read as ever.
 */
export class ResponseMemory {
    private usedBytes = 0;

    constructor(private readonly opts: ResponseMemoryOptions) {}

    /** Takes memory for a body that grows to `length`; returns false if there is none left for it. */
    tryGrow(length: number, addedBytes: number): boolean {
        const added = countedBytes(length) - countedBytes(length - addedBytes);
        if (this.usedBytes + added > this.opts.maxBytes) {
            return false;
        }
        this.usedBytes += added;
        return true;
    }

    /** Returns the memory of a body. */
    release(length: number): void {
        this.usedBytes -= countedBytes(length);
    }
}

function countedBytes(length: number): number {
    return Math.max(0, length - UNCOUNTED_BYTES);
}
