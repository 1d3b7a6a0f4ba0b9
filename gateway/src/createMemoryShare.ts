import type { Logger } from "@pistachioreel/logging";
import { SharedMemory } from "@pistachioreel/runtime";

/** Share of the process memory for each kind of bodies: those of requests, and large ones of responses while they are read. */
const SHARES = { requests: 0.25, responses: 0.15 } as const;

interface MemoryShareOptions {
    readonly kind: keyof typeof SHARES;
    /** Memory of the process. */
    readonly memoryBytes: number;
    readonly logger: Logger;
}

/** Creates the memory for one kind of bodies. */
export function createMemoryShare({ kind, memoryBytes, logger }: MemoryShareOptions): SharedMemory {
    return new SharedMemory({
        maxBytes: memoryBytes * SHARES[kind],
        onRefused: holder => logger.warn({ event: "memory-share-exceeded", fields: { kind, holder } }),
    });
}
