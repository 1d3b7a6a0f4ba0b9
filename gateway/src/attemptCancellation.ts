interface AttemptCancellationOptions {
    /** Aborts when the caller disconnects. */
    readonly signal: AbortSignal;
    /** Time left until the request's deadline, in ms. */
    readonly deadlineMs: number;
    /** Time after which another target is likely to be faster, in ms. */
    readonly slowMs: number;
    /** Called at most once, after `slowMs`. If it returns false, the attempt continues until the deadline. */
    readonly shouldFailOver: () => boolean;
}

/** Cancels an attempt when the caller disconnects, at the deadline, or when another target is likely to be faster. */
export class AttemptCancellation {
    /** The first reason for which the attempt was cancelled; `undefined` if it was not. */
    cancelledBy: "caller" | "deadline" | "slow" | undefined;
    private readonly controller = new AbortController();
    private timer: NodeJS.Timeout | undefined;
    private immediate: NodeJS.Immediate | undefined;
    private readonly onAbort = () => this.cancel("caller");

    constructor(private readonly opts: AttemptCancellationOptions) {
        const { signal, deadlineMs, slowMs, shouldFailOver } = opts;
        if (slowMs >= deadlineMs) {
            this.cancelAtDeadline(deadlineMs);
        }
        else {
            this.schedule(
                () => shouldFailOver() ? this.cancel("slow") : this.cancelAtDeadline(deadlineMs - slowMs),
                slowMs,
            );
        }
        signal.addEventListener("abort", this.onAbort);
        if (signal.aborted) {
            this.onAbort();
        }
    }

    /** Aborts when the attempt is cancelled. */
    get signal(): AbortSignal {
        return this.controller.signal;
    }

    /** Stops the timer and the listener. To be called when the attempt has ended. */
    dispose(): void {
        clearTimeout(this.timer);
        clearImmediate(this.immediate);
        this.opts.signal.removeEventListener("abort", this.onAbort);
    }

    private cancelAtDeadline(ms: number): void {
        this.schedule(() => this.cancel("deadline"), ms);
    }

    /**
     * Calls the action after a time in ms, unless the attempt ends before. The sockets are read once between the timer and
     * the action: after a pause of this process, timers expire before a response that has arrived meanwhile is read.
     */
    private schedule(action: () => void, ms: number): void {
        this.timer = setTimeout(() => this.immediate = setImmediate(action), Math.max(0, ms));
    }

    private cancel(reason: NonNullable<AttemptCancellation["cancelledBy"]>): void {
        this.cancelledBy ??= reason;
        this.controller.abort();
    }
}
