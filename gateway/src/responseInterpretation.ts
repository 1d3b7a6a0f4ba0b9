import type { TargetStatement } from "@pistachioreel/placement";

/**
 * What status and headers of a target's response mean for the request.
 *
 * - `result`: the target has run the request; the response is passed on to the caller.
 * - `full`: the target has not run the request, but may accept it later.
 * - `misdirected`: the address now belongs to another target, which has not run the request.
 * - `unusable`: the status implies a guarantee, such as that the request has not run, which the target did not state.
 *   The response cannot be passed on.
 */
export interface ResponseInterpretation {
    readonly outcome: "result" | "full" | "misdirected" | "unusable";
    /** What the response says of its target; `undefined` if another target has sent it. */
    readonly statement: TargetStatement | undefined;
}
