interface GrowingBufferOptions {
    /** Most bytes that the content can have, which also bounds the capacity; unbounded by default. */
    readonly maxBytes?: number | undefined;
}

const NO_BYTES = Buffer.alloc(0);
const MIN_CAPACITY_BYTES = 1024;
/** Ratio of a new capacity to the bytes that have arrived, so that they are copied a bounded number of times. */
const GROWTH_FACTOR = 2;
/** Shorter pieces are copied faster by a loop than by a call of `Buffer.copy`. */
const MIN_COPY_BYTES = 24;

/**
 * Collects bytes that arrive in pieces in one buffer, so that the memory for them is at most twice their number (above a minimum),
 * in however many pieces they arrive.
 */
export class GrowingBuffer {
    private buffer: Buffer = NO_BYTES;
    private length = 0;

    constructor(private readonly opts: GrowingBufferOptions = {}) {}

    /** Number of bytes so far. */
    get size(): number {
        return this.length;
    }

    /** Size of the memory in bytes. */
    get capacity(): number {
        return this.buffer.length;
    }

    /** All bytes so far, without a copy. */
    get bytes(): Buffer {
        return this.buffer.subarray(0, this.length);
    }

    /** Size of the memory in bytes once that many bytes have been added. */
    capacityWith(addedBytes: number): number {
        const length = this.length + addedBytes;
        if (length <= this.buffer.length) {
            return this.buffer.length;
        }
        const { maxBytes = Infinity } = this.opts;
        return Math.max(length, Math.min(maxBytes, Math.max(MIN_CAPACITY_BYTES, GROWTH_FACTOR * length)));
    }

    /** Adds the bytes of the source from `start` to before `end`. */
    append(source: Uint8Array, start = 0, end = source.length): void {
        this.reserve(end - start);
        if (end - start < MIN_COPY_BYTES) {
            for (let index = start; index < end; index++) {
                this.buffer[this.length++] = source[index]!;
            }
            return;
        }
        this.buffer.set(source.subarray(start, end), this.length);
        this.length += end - start;
    }

    /** Takes over a buffer as the whole content, without a copy. */
    adopt(whole: Buffer): void {
        this.buffer = whole;
        this.length = whole.length;
    }

    /** Removes all bytes and frees the memory. */
    clear(): void {
        this.buffer = NO_BYTES;
        this.length = 0;
    }

    private reserve(addedBytes: number): void {
        const capacity = this.capacityWith(addedBytes);
        if (capacity > this.buffer.length) {
            // Not from the shared pool, where a small buffer would keep a whole slab alive.
            const grown = Buffer.allocUnsafeSlow(capacity);
            this.buffer.copy(grown, 0, 0, this.length);
            this.buffer = grown;
        }
    }
}
