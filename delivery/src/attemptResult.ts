import type { DeliveredResponse } from "./deliveredResponse.js";

/**
 * How one attempt on one target ended.
 *
 * - `complete`: the target's response is complete, and has been sent to the caller unless it has disconnected.
 * - `unsent`: no byte of the request was sent to the target.
 * - `refused`: the target stated that it did not run the request.
 * - `broken`: the connection broke or timed out after the request was sent and before a byte went to the caller.
 * - `cut`: the end of the response cannot be detected, or it broke off after a part of it went to the caller.
 * - `cancelled`: the caller disconnected.
 */
export interface AttemptResult {
    readonly end: "complete" | "unsent" | "refused" | "broken" | "cut" | "cancelled";
    readonly response?: DeliveredResponse;
    readonly cause?: Error;
    /** Why an attempt was stopped while it was running; absent if it ended by itself. */
    readonly stoppedBy?: "attempt-timeout" | "deadline" | "disconnect" | "body";
}
