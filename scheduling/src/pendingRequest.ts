import { err, ok, type Result } from "neverthrow";
import type { QueuedRequest } from "./queuedRequest.js";
import type { ScheduledRequest } from "./scheduledRequest.js";
import type { ScheduleRefusal } from "./scheduleRefusal.js";
import type { StartAttempt } from "./startAttempt.js";

interface PendingRequestOptions<T> {
    readonly start: StartAttempt<T>;
    /** Lower estimate of the time from the start to the response. */
    readonly minimumMs: number;
    readonly signal: AbortSignal;
    readonly canUse?: (target: string) => boolean;
    readonly resolve: (result: Result<T, ScheduleRefusal>) => void;
    readonly reject: (error: unknown) => void;
}

/** A request with its state: it is settled exactly once, by its start or by a rejection. */
export class PendingRequest<T> implements QueuedRequest {
    readonly objectiveStartAt: number;
    readonly latestStartAt: number;
    attempts = 0;
    private state: "waiting" | "starting" | "settled" = "waiting";
    private abortListener: (() => void) | undefined;

    constructor(readonly request: ScheduledRequest, private readonly opts: PendingRequestOptions<T>) {
        this.objectiveStartAt = request.objectiveAt - opts.minimumMs;
        this.latestStartAt = request.deadlineAt - opts.minimumMs;
    }

    get isWaiting(): boolean {
        return this.state === "waiting";
    }

    get isAborted(): boolean {
        return this.opts.signal.aborted;
    }

    /** Calls a function when the caller disconnects while the request waits. */
    onAbort(listener: () => void): void {
        this.abortListener = listener;
        this.opts.signal.addEventListener("abort", listener, { once: true });
    }

    tryStart(isReservedTurn: boolean): "started" | "noRoom" | "threw" {
        this.state = "starting";
        this.attempts++;
        try {
            const value = this.opts.start({ isReservedTurn });
            if (value === undefined) {
                this.state = "waiting";
                return "noRoom";
            }
            this.settle();
            this.opts.resolve(ok(value));
            return "started";
        }
        catch (error) {
            this.settle();
            this.opts.reject(error);
            return "threw";
        }
    }

    canUse(target: string): boolean {
        return this.opts.canUse?.(target) ?? true;
    }

    refuse(refusal: ScheduleRefusal): void {
        this.settle();
        this.opts.resolve(err(refusal));
    }

    private settle(): void {
        this.state = "settled";
        if (this.abortListener !== undefined) {
            this.opts.signal.removeEventListener("abort", this.abortListener);
        }
    }
}
