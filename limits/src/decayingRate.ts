interface DecayingRateOptions {
    /** Time in which a count falls to about a third, in ms. */
    readonly decayMs: number;
    /** Monotonic time in ms. */
    readonly now: () => number;
}

const MS_PER_SECOND = 1_000;

/** Mean rate of events, in which recent ones count most. */
export class DecayingRate {
    private count = 0;
    private updatedAt: number;

    constructor(private readonly opts: DecayingRateOptions) {
        this.updatedAt = opts.now();
    }

    add(events: number): void {
        this.decay();
        this.count += events;
    }

    /** Events a second. */
    get rate(): number {
        this.decay();
        return this.count / this.opts.decayMs * MS_PER_SECOND;
    }

    private decay(): void {
        const now = this.opts.now();
        this.count *= Math.exp((this.updatedAt - now) / this.opts.decayMs);
        this.updatedAt = now;
    }
}
