import type { TargetResponse } from "@pistachioreel/forwarding";
import type { Failure } from "@pistachioreel/result-code";

interface RelayTrace {
    /** Targets to which the request was sent. */
    readonly sends: number;
    /** Id of the last target, if there was one. */
    readonly target: string | undefined;
}

/** How a request ended: a target's answer, or a failure that becomes the host's own answer. */
export type RelayResult =
    | RelayTrace & { readonly answer: TargetResponse; }
    | RelayTrace & { readonly failure: Failure; readonly retryAfterMs: number | undefined; };
