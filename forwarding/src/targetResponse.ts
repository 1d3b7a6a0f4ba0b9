/** A complete response of a target. */
export interface TargetResponse {
    readonly status: number;
    /** Alternating names and values. */
    readonly headers: readonly string[];
    readonly body: Buffer;
    /** Whether the response states its length or is chunked; otherwise it ends with its connection. */
    readonly isFramed: boolean;
}
