/** A request as it is sent to a target. */
export interface TargetRequest {
    readonly id: string;
    readonly method: string;
    /** Path and query, as the caller sent them. */
    readonly path: string;
    /** Alternating names and values, with one character for each byte; see `encodeHeaderText`. */
    readonly headers: readonly string[];
    readonly body: Buffer | undefined;
}
