import type { Failure } from "@pistachioreel/result-code";
import type { Result } from "neverthrow";
import type { SlotGrant } from "./slotGrant.js";
import type { SlotRequest } from "./slotRequest.js";

/** Where requests wait until a target has a slot for them. */
export interface TargetQueue<T> {
    /**
     * Waits for a slot. All failures mean that the request was not run: `noTarget`, `deadlineInQueue`, `queueFull`.
     */
    acquire(request: SlotRequest): Promise<Result<SlotGrant<T>, Failure>>;
}
