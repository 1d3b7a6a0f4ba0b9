interface EventLoopStallsOptions {
    /** Monotonic time in ms. */
    readonly now: () => number;
}

const TICK_INTERVAL_MS = 250;
/** Timers fire later than this only if the process did not run or was busy. */
const STALL_MS = 2 * TICK_INTERVAL_MS;
/** After a stall, what arrived during it is handled within this time. */
const CATCH_UP_MS = 100;

/** Notices when the process did not run, or was busy for long, so that what arrived meanwhile is handled late. */
export class EventLoopStalls {
    private lastTickAt: number;
    private stall = { startedAt: -Infinity, endedAt: -Infinity };

    constructor(private readonly opts: EventLoopStallsOptions) {
        this.lastTickAt = opts.now();
        setInterval(() => this.tick(), TICK_INTERVAL_MS).unref();
    }

    /** Earliest monotonic time in ms at which a signal that is being handled now can have arrived. */
    get earliestArrivalAt(): number {
        const now = this.opts.now();
        if (now - this.lastTickAt > STALL_MS) {
            return this.lastTickAt;
        }
        return now - this.stall.endedAt < CATCH_UP_MS ? this.stall.startedAt : now;
    }

    private tick(): void {
        const now = this.opts.now();
        if (now - this.lastTickAt > STALL_MS) {
            this.stall = { startedAt: this.lastTickAt, endedAt: now };
        }
        this.lastTickAt = now;
    }
}
