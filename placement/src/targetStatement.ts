import type { ReportedLoad } from "./reportedLoad.js";

/** What a response says of its target, apart from its request. Absent and invalid values are `undefined`. */
export interface TargetStatement {
    readonly load: ReportedLoad | undefined;
    /** Time for which the target remains cold, in ms. */
    readonly coldMs: number | undefined;
    /** Whether the target is leaving and wants no new requests. */
    readonly isLeaving: boolean;
    /** Time for which the target wants no requests of this host, in ms. */
    readonly pauseMs: number | undefined;
    /** Requests per second that the target accepts of all hosts together. */
    readonly limitPerSecond: number | undefined;
    /** Names of the headers whose values were invalid. */
    readonly invalidHeaders: readonly string[];
}
