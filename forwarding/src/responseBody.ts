import type { ResponseFault } from "./responseFault.js";
import type { ResponseMemory } from "./responseMemory.js";

interface ResponseBodyOptions {
    /** Maximum length in bytes. */
    readonly maxBytes: number;
    /** Length that the head states, if it does. */
    readonly statedBytes?: number | undefined;
    /** Memory that all response bodies share. */
    readonly memory?: ResponseMemory | undefined;
}

const NO_BYTES = Buffer.alloc(0);
const MIN_CAPACITY_BYTES = 1024;
/** Ratio of a new capacity to the bytes that have arrived, so that they are copied a bounded number of times. */
const GROWTH_FACTOR = 2;
/** A stated length bounds the capacity, so a larger ratio wastes nothing. */
const STATED_GROWTH_FACTOR = 8;

/**
 * Collects the body of one response in one buffer, so that the memory for it is proportional to its length, in however many pieces
 * it arrives. A body that arrives in one piece is not copied.
 */
export class ResponseBody {
    private buffer: Buffer = NO_BYTES;
    private length = 0;

    constructor(private readonly opts: ResponseBodyOptions) {}

    /** Number of bytes so far. */
    get size(): number {
        return this.length;
    }

    /** All bytes so far. */
    get bytes(): Buffer {
        return this.buffer.subarray(0, this.length);
    }

    /**
     * Adds bytes; returns a fault if there is no room for them.
     *
     * Faults: `bodySize` and `memory`.
     */
    append(piece: Buffer): ResponseFault | undefined {
        const length = this.length + piece.length;
        if (length > this.opts.maxBytes) {
            return "bodySize";
        }
        const isWhole = piece.length === this.opts.statedBytes;
        const capacity = isWhole ? length : this.capacityFor(length);
        if (!this.tryReserve(capacity)) {
            return "memory";
        }
        if (isWhole) {
            this.buffer = piece;
        }
        else {
            this.resize(capacity);
            piece.copy(this.buffer, this.length);
        }
        this.length = length;
        return undefined;
    }

    /** Releases the memory. */
    dispose(): void {
        this.opts.memory?.release(this.buffer.length);
        this.buffer = NO_BYTES;
        this.length = 0;
    }

    /** Size of the buffer for a body of at least the length. */
    private capacityFor(length: number): number {
        if (length <= this.buffer.length) {
            return this.buffer.length;
        }
        const { statedBytes, maxBytes } = this.opts;
        const factor = statedBytes === undefined ? GROWTH_FACTOR : STATED_GROWTH_FACTOR;
        return Math.min(statedBytes ?? maxBytes, Math.max(MIN_CAPACITY_BYTES, factor * length));
    }

    private tryReserve(capacity: number): boolean {
        const addedBytes = capacity - this.buffer.length;
        return addedBytes === 0 || this.opts.memory?.tryGrow(capacity, addedBytes) !== false;
    }

    private resize(capacity: number): void {
        if (capacity > this.buffer.length) {
            const grown = Buffer.allocUnsafe(capacity);
            this.buffer.copy(grown, 0, 0, this.length);
            this.buffer = grown;
        }
    }
}
