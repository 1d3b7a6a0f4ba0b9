/**
 * How one attempt on one target ended.
 *
 * - `complete`: the caller has the whole response.
 * - `unsent`: no byte of the request left for the target.
 * - `refused`: the target stated that it did not run the request.
 * - `broken`: the connection broke or timed out after the request was sent and before a byte went to the caller.
 * - `cut`: the response broke after a part of it went to the caller.
 * - `cancelled`: the caller disconnected.
 */
export interface AttemptResult {
    readonly end: "complete" | "unsent" | "refused" | "broken" | "cut" | "cancelled";
    readonly status?: number;
    readonly cause?: Error;
}
