import { GrowingBuffer } from "@pistachioreel/runtime";
import type { ContentSink } from "./contentSink.js";
import type { ResponseFault } from "./responseFault.js";
import type { ResponseMemoryShare } from "./responseMemoryShare.js";

interface ResponseBodyOptions {
    /** Maximum length in bytes. */
    readonly maxBytes: number;
    /** Length that the head states, if it does. */
    readonly statedBytes?: number | undefined;
    /** Memory for the response bodies of the target. */
    readonly memory?: ResponseMemoryShare | undefined;
}

/** Collects the body of one response. A body that arrives in one piece is not copied. */
export class ResponseBody implements ContentSink {
    private readonly content: GrowingBuffer;

    constructor(private readonly opts: ResponseBodyOptions) {
        this.content = new GrowingBuffer({ maxBytes: opts.statedBytes ?? opts.maxBytes });
    }

    /** Number of bytes so far. */
    get size(): number {
        return this.content.size;
    }

    /** All bytes so far. */
    get bytes(): Buffer {
        return this.content.bytes;
    }

    append(source: Buffer, start: number, end: number): ResponseFault | undefined {
        const { content } = this;
        const { maxBytes, statedBytes } = this.opts;
        const addedBytes = end - start;
        if (content.size + addedBytes > maxBytes) {
            return "bodySize";
        }
        const isWhole = addedBytes === statedBytes;
        if (!this.tryReserve(isWhole ? addedBytes : content.capacityWith(addedBytes))) {
            return "memory";
        }
        if (isWhole) {
            content.adopt(source.subarray(start, end));
        }
        else {
            content.append(source, start, end);
        }
        return undefined;
    }

    /** Releases the memory. */
    dispose(): void {
        this.opts.memory?.release(this.content.capacity);
        this.content.clear();
    }

    private tryReserve(capacity: number): boolean {
        const addedBytes = capacity - this.content.capacity;
        return addedBytes === 0 || this.opts.memory?.tryGrow(capacity, addedBytes) !== false;
    }
}
