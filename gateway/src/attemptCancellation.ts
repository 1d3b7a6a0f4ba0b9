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
    private timer: NodeJS.Timeout;
    private readonly onAbort = () => this.cancel("caller");

    constructor(private readonly opts: AttemptCancellationOptions) {
        const { signal, deadlineMs, slowMs, shouldFailOver } = opts;
        const cancelAtDeadline = (ms: number) => setTimeout(() => this.cancel("deadline"), Math.max(0, ms));
        this.timer = slowMs >= deadlineMs ? cancelAtDeadline(deadlineMs) : setTimeout(() => {
            if (shouldFailOver()) {
                this.cancel("slow");
            }
            else {
                this.timer = cancelAtDeadline(deadlineMs - slowMs);
            }
        }, slowMs);
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
        this.opts.signal.removeEventListener("abort", this.onAbort);
    }

    private cancel(reason: NonNullable<AttemptCancellation["cancelledBy"]>): void {
        this.cancelledBy ??= reason;
        this.controller.abort();
    }
}
