import type { IncomingMessage, ServerResponse } from "node:http";

/** One admitted request of a caller. */
export interface DeliveryRequest {
    /** Unique over all hosts; the target gets it as `X-Request-Id`. */
    readonly id: string;
    /** Absent on open routes. */
    readonly workspace: string | undefined;
    readonly service: string;
    readonly priority: "urgent" | "normal" | "deferrable";
    readonly isIdempotent: boolean;
    /** Monotonic time in ms at which the caller gives up. */
    readonly deadlineAt: number;
    /** Time that one target may take until the head of its response, in ms. */
    readonly attemptTimeoutMs: number;
    /** The caller's key; removed from everything that goes to a target. */
    readonly key: string | undefined;
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
}
