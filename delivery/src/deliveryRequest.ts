import type { Failure } from "@pistachioreel/result-code";
import type { Result } from "neverthrow";
import type { IncomingMessage, ServerResponse } from "node:http";

/** One admitted request of a caller. */
export interface DeliveryRequest {
    /** Unique over all hosts; the target gets it as `X-Request-Id`. */
    readonly id: string;
    /** Absent on open routes. */
    readonly workspace: string | undefined;
    readonly service: string;
    /** Path of the route in the rules. */
    readonly routePath: string;
    readonly priority: "urgent" | "normal" | "deferrable";
    readonly isIdempotent: boolean;
    /** `Idempotency-Key` of the caller; required unless the request is idempotent. */
    readonly idempotencyKey: string | undefined;
    /** Size that the route accepts, in bytes. */
    readonly maxBodyBytes: number;
    /** Monotonic time in ms at which the caller gives up. */
    readonly deadlineAt: number;
    /** Time that a target may stay without a sign of life, in ms. */
    readonly attemptTimeoutMs: number;
    /** The caller's key; removed from everything that goes to a target. */
    readonly key: string | undefined;
    /** Checked before each attempt: a key can be withdrawn while its request waits for a target. */
    readonly reauthorize?: () => Result<unknown, Failure>;
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
}
