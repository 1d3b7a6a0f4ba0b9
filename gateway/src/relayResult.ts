import type { TargetResponse } from "@pistachioreel/forwarding";
import type { Failure } from "@pistachioreel/result-code";

interface RelayTrace {
    /** Number of targets to which the request was sent. */
    readonly sends: number;
    /** Id of the last target that was tried, if there was one. */
    readonly target: string | undefined;
}

/** Result of relaying a request: a target's response, or a failure to which the host responds itself. */
export type RelayResult =
    | RelayTrace & { readonly response: TargetResponse; }
    | RelayTrace & { readonly failure: Failure; readonly retryAfterMs: number | undefined; };
