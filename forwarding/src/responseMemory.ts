import type { SharedMemory } from "@pistachioreel/runtime";
import { ResponseMemoryShare } from "./responseMemoryShare.js";

/**
 * Memory of the response bodies that are being read. Bodies that are larger than most share a limit, so that targets that
 * send without end cannot use up the memory of the process, while usual responses are read as ever.
 */
export class ResponseMemory {
    constructor(private readonly memory: SharedMemory) {}

    /** The memory as one target uses it, which cannot take all of it. */
    shareOf(target: string): ResponseMemoryShare {
        return new ResponseMemoryShare(this.memory, target);
    }
}
