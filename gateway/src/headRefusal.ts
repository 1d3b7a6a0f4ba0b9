import type { Route, Workspace } from "@pistachioreel/desired-state";
import type { Failure } from "@pistachioreel/result-code";

/** A refusal that was decided from the head of a request, which has not run. */
export interface HeadRefusal {
    readonly failure: Failure;
    /** Time after which the caller may retry, in ms. */
    readonly retryAfterMs?: number | undefined;
    readonly route?: Route;
    readonly workspace?: Workspace | undefined;
    /** Monotonic time in ms of the request's deadline. */
    readonly deadlineAt?: number;
}
