import type { ReportedLoad } from "@pistachioreel/placement";

/**
 * What a target's answer means.
 *
 * - `result`: the target has run the request; its answer goes to the caller.
 * - `full`: the target did not run the request and may do so later.
 * - `misdirected`: another target has the address; it did not run the request.
 * - `unusable`: the answer promises something that the target did not state, so it cannot go to the caller.
 */
export interface ResponseInterpretation {
    readonly outcome: "result" | "full" | "misdirected" | "unusable";
    readonly load: ReportedLoad | undefined;
    /** How much longer the target is cold, in ms, if it says so. */
    readonly coldMs: number | undefined;
}
