import type { SharedMemory } from "@pistachioreel/runtime";

/** A body up to this size is not counted: limits on connections bound the number of such bodies. */
const UNCOUNTED_BYTES = 256 * 1024;

/** Memory for the response bodies of one target. */
export class ResponseMemoryShare {
    constructor(private readonly memory: SharedMemory, private readonly target: string) {}

    /** Takes memory for a body whose buffer grows to `capacity`; returns false if there is none left for it. */
    tryGrow(capacity: number, addedBytes: number): boolean {
        const added = countedBytes(capacity) - countedBytes(capacity - addedBytes);
        return added === 0 || this.memory.tryTake(this.target, added);
    }

    /** Returns the memory of a body. */
    release(capacity: number): void {
        const counted = countedBytes(capacity);
        if (counted > 0) {
            this.memory.release(this.target, counted);
        }
    }
}

function countedBytes(capacity: number): number {
    return Math.max(0, capacity - UNCOUNTED_BYTES);
}
