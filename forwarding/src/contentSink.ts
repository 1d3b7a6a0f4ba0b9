import type { ResponseFault } from "./responseFault.js";

/** Takes the content of a body, piece by piece. */
export interface ContentSink {
    /**
     * Takes the bytes of the source from `start` to before `end`. The source may be reused by the caller afterwards only if the sink
     * copies it.
     *
     * Faults: `bodySize` and `memory`.
     */
    append(source: Buffer, start: number, end: number): ResponseFault | undefined;
}
