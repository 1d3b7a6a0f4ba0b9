/** A complete response of a target. */
export interface TargetResponse {
    readonly status: number;
    /** Alternating names and values. */
    readonly headers: readonly string[];
    readonly body: Buffer;
    /** Whether the response states its length or is chunked; otherwise it ends with its connection. */
    readonly isFramed: boolean;
    /** Whether it names no request and its connection has carried another one, so that it may be a late second response to that. */
    readonly mayBeLate?: boolean;
}
