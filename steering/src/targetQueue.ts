import type { Failure } from "@pistachioreel/result-code";
import type { Result } from "neverthrow";
import type { SlotGrant } from "./slotGrant.js";
import type { SlotRequest } from "./slotRequest.js";

/** Queue in which requests wait for a slot on a target. */
export interface TargetQueue<T> {
    /**
     * Waits for a slot. Every failure means that the request was not run: `noTarget`, `deadlineInQueue`, `queueFull`.
     */
    acquire(request: SlotRequest): Promise<Result<SlotGrant<T>, Failure>>;
}
