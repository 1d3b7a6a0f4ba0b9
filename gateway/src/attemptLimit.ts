interface AttemptLimitOptions {
    /** Aborts when the caller has left. */
    readonly signal: AbortSignal;
    readonly deadlineMs: number;
    /** Time after which another target is likely to be faster, in ms. */
    readonly slowMs: number;
}

/** Ends an attempt when the caller leaves, when its time is up, or when another target is likely to be faster. */
export class AttemptLimit {
    /** What ended the attempt; `undefined` if nothing has. */
    stoppedBy: "caller" | "deadline" | "slow" | undefined;
    private readonly controller = new AbortController();
    private readonly timer: NodeJS.Timeout;
    private readonly onAbort = () => this.stop("caller");

    constructor(private readonly opts: AttemptLimitOptions) {
        const { signal, deadlineMs, slowMs } = opts;
        const reason = slowMs < deadlineMs ? "slow" : "deadline";
        this.timer = setTimeout(() => this.stop(reason), Math.max(0, Math.min(deadlineMs, slowMs)));
        signal.addEventListener("abort", this.onAbort);
    }

    get signal(): AbortSignal {
        return this.controller.signal;
    }

    end(): void {
        clearTimeout(this.timer);
        this.opts.signal.removeEventListener("abort", this.onAbort);
    }

    private stop(reason: NonNullable<AttemptLimit["stoppedBy"]>): void {
        this.stoppedBy ??= reason;
        this.controller.abort();
    }
}
