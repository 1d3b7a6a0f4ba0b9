import type { Failure } from "@pistachioreel/result-code";
import type { Result } from "neverthrow";
import type { IncomingMessage, ServerResponse } from "node:http";

/** A caller's request that has been admitted and is to be delivered to a target. */
export interface DeliveryRequest {
    /** Unique over all hosts; the target gets it as `X-Request-Id`. */
    readonly id: string;
    /** Absent on routes that need no key. */
    readonly workspace: string | undefined;
    readonly service: string;
    /** Path of the matched route as configured. */
    readonly routePath: string;
    readonly priority: "urgent" | "normal" | "deferrable";
    readonly isIdempotent: boolean;
    /** `Idempotency-Key` of the caller; required unless the request is idempotent. */
    readonly idempotencyKey: string | undefined;
    /** Largest body that the route accepts, in bytes. */
    readonly maxBodyBytes: number;
    /** Monotonic time in ms at which the caller gives up. */
    readonly deadlineAt: number;
    /** Time in ms within which a target must make progress; after that, the attempt times out. */
    readonly attemptTimeoutMs: number;
    /** The caller's key. Headers that contain it are not forwarded to a target. */
    readonly key: string | undefined;
    /** Called before each attempt, because a key can be withdrawn while its request waits for a target. */
    readonly reauthorize?: () => Result<unknown, Failure>;
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
}
