import type { ScheduledRequest } from "./scheduledRequest.js";
import type { ScheduleRefusal } from "./scheduleRefusal.js";

/** A request in the queue of its service. */
export interface QueuedRequest {
    readonly request: ScheduledRequest;
    /** Latest monotonic time in ms of a start that meets the latency objective. */
    readonly objectiveStartAt: number;
    /** Latest monotonic time in ms of a start that meets the deadline. */
    readonly latestStartAt: number;
    /** Number of start attempts. */
    readonly attempts: number;
    /** Whether it is neither being started nor settled. */
    readonly isWaiting: boolean;
    readonly isAborted: boolean;
    /** Tries to start the request, which can't be rejected meanwhile, as the attempt may have taken effect. */
    tryStart(isReservedTurn: boolean): "started" | "noRoom" | "threw";
    /** Whether the request might start at a target. */
    canUse(target: string): boolean;
    refuse(refusal: ScheduleRefusal): void;
}
