/** Complete response of a target. */
export interface DeliveredResponse {
    readonly status: number;
    /** Alternating names and values, without hop-by-hop headers. */
    readonly headers: readonly string[];
    /** Absent if the response was too large to be buffered (over 64 KiB). */
    readonly body: Buffer | undefined;
    /** SHA-256 of the body in hex; only of responses to non-idempotent requests. */
    readonly digest: string | undefined;
}
