import type { DeliveredResponse } from "./deliveredResponse.js";

/**
 * How one attempt on one target ended.
 *
 * - `complete`: the target's response is whole; the caller has it unless it has disconnected.
 * - `unsent`: no byte of the request left for the target.
 * - `refused`: the target stated that it did not run the request.
 * - `broken`: the connection broke or timed out after the request was sent and before a byte went to the caller.
 * - `cut`: the response cannot be completed, or broke after a part of it went to the caller.
 * - `cancelled`: the caller disconnected.
 */
export interface AttemptResult {
    readonly end: "complete" | "unsent" | "refused" | "broken" | "cut" | "cancelled";
    readonly response?: DeliveredResponse;
    readonly cause?: Error;
    /** What stopped an attempt that was still running. */
    readonly stoppedBy?: "attempt-timeout" | "deadline" | "disconnect" | "body";
}
