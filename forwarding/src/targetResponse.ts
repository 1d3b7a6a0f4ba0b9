/** A whole answer of a target. */
export interface TargetResponse {
    readonly status: number;
    /** Alternating names and values. */
    readonly headers: readonly string[];
    readonly body: Buffer;
    /** Whether the answer states where it ends; one that does not ends with its connection. */
    readonly isFramed: boolean;
}
