interface AttemptCancellationOptions {
    /** Aborts when the caller has left. */
    readonly signal: AbortSignal;
    readonly deadlineMs: number;
    /** Time after which another target is likely to be faster, in ms. */
    readonly slowMs: number;
    /** Asked at that time: whether another target will be tried. If not, the attempt goes on until the deadline. */
    readonly mayMoveOn: () => boolean;
}

/** Ends an attempt when the caller leaves, when its time is up, or when another target is likely to be faster. */
export class AttemptCancellation {
    /** What ended the attempt; `undefined` if nothing has. */
    cancelledBy: "caller" | "deadline" | "slow" | undefined;
    private readonly controller = new AbortController();
    private timer: NodeJS.Timeout;
    private readonly onAbort = () => this.stop("caller");

    constructor(private readonly opts: AttemptCancellationOptions) {
        const { signal, deadlineMs, slowMs, mayMoveOn } = opts;
        const stopAtDeadline = (ms: number) => setTimeout(() => this.stop("deadline"), Math.max(0, ms));
        this.timer = slowMs >= deadlineMs ? stopAtDeadline(deadlineMs) : setTimeout(() => {
            if (mayMoveOn()) {
                this.stop("slow");
            }
            else {
                this.timer = stopAtDeadline(deadlineMs - slowMs);
            }
        }, slowMs);
        signal.addEventListener("abort", this.onAbort);
        if (signal.aborted) {
            this.onAbort();
        }
    }

    get signal(): AbortSignal {
        return this.controller.signal;
    }

    end(): void {
        clearTimeout(this.timer);
        this.opts.signal.removeEventListener("abort", this.onAbort);
    }

    private stop(reason: NonNullable<AttemptCancellation["cancelledBy"]>): void {
        this.cancelledBy ??= reason;
        this.controller.abort();
    }
}
