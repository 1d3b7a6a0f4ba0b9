interface DecayingRateOptions {
    /** Time constant of the decay in ms: the time in which a count falls to 1/e, about a third. */
    readonly timeConstantMs: number;
    /** Monotonic time in ms. */
    readonly now: () => number;
}

const MS_PER_SECOND = 1_000;

/** Exponentially weighted mean rate of events, in which recent events count most. */
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

    /** Events per second. */
    get rate(): number {
        this.decay();
        return this.count / this.opts.timeConstantMs * MS_PER_SECOND;
    }

    private decay(): void {
        const now = this.opts.now();
        this.count *= Math.exp((this.updatedAt - now) / this.opts.timeConstantMs);
        this.updatedAt = now;
    }
}
