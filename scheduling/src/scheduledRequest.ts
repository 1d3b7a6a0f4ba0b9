import type { Rank } from "./rank.js";

/** Properties of a request that determine its place in the order of its service. */
export interface ScheduledRequest extends Rank {
    readonly service: string;
    /** Id of the workspace; requests without one share capacity as one workspace. */
    readonly workspace: string | undefined;
    /** Monotonic time in ms of the latency objective. */
    readonly objectiveAt: number;
    /** Monotonic time in ms after which a response is useless to the caller. */
    readonly deadlineAt: number;
    /** Memory that the request holds while it waits, in bytes. */
    readonly bytes: number;
}
