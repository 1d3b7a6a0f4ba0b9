interface StatedPauseOptions {
    /** Monotonic time in ms. */
    readonly now: () => number;
    /** Random numbers from 0 to below 1; `Math.random` by default. */
    readonly random?: () => number;
}

/** Hosts return to a target at random times after its pause, within this share of the pause and this time. */
const RETURN_SPREAD_SHARE = 0.25;
const MAX_RETURN_SPREAD_MS = 1_000;
/** Time in which the number of this host's requests that may run at the target grows from one to its slots. */
const RETURN_RAMP_MS = 2_000;
/** In a longer pause, one request may ask after this time whether the target accepts requests again. */
const PROBE_AFTER_MS = 10_000;

/** A time for which a target wants no requests of this host. */
export class StatedPause {
    private statedAt = -Infinity;
    private endsAt = -Infinity;
    private returnsAt = -Infinity;
    private hasProbed = false;

    constructor(private readonly opts: StatedPauseOptions) {}

    /** Starts a pause or extends it to a later end; returns whether there was none. */
    extend(durationMs: number): boolean {
        const now = this.opts.now();
        const isNew = this.endsAt <= now;
        this.statedAt = now;
        if (now + durationMs > this.endsAt) {
            const { random = Math.random } = this.opts;
            this.endsAt = now + durationMs;
            this.returnsAt = this.endsAt +
                random() * Math.min(MAX_RETURN_SPREAD_MS, durationMs * RETURN_SPREAD_SHARE);
        }
        if (isNew) {
            this.hasProbed = false;
        }
        return isNew;
    }

    /** Whether another request may be sent to the target, with so many of this host's requests running there. */
    allows(running: number, slots: number): boolean {
        const elapsedMs = this.opts.now() - this.returnsAt;
        return elapsedMs >= 0 && (elapsedMs >= RETURN_RAMP_MS || running < 1 + slots * elapsedMs / RETURN_RAMP_MS);
    }

    /** Time until requests may be sent again, in ms. */
    get remainingMs(): number {
        return Math.max(0, this.returnsAt - this.opts.now());
    }

    /** Whether a request may ask if the target accepts requests before the end of the pause; once in each pause. */
    get mayProbe(): boolean {
        return !this.hasProbed && this.remainingMs > 0 && this.opts.now() - this.statedAt >= PROBE_AFTER_MS;
    }

    /** Records that a request is being sent, which is a probe if the pause is not over. */
    recordSent(): void {
        this.hasProbed ||= this.remainingMs > 0;
    }

    /** Whether the target has asked for the pause, or repeated it, since then, a monotonic time in ms. */
    isStatedSince(since: number): boolean {
        return this.statedAt >= since;
    }
}
