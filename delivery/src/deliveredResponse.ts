/** A complete response of a target. */
export interface DeliveredResponse {
    readonly status: number;
    /** Alternating names and values, without headers that only matter between two hops. */
    readonly headers: readonly string[];
    /** Absent if the response was larger than the limit up to which responses are held. */
    readonly body: Buffer | undefined;
    /** SHA-256 of the body in hex; only of responses to non-idempotent requests. */
    readonly digest: string | undefined;
}
