import type { Target } from "./target.js";
import { targetKey } from "./targetKey.js";

interface TargetHealthOptions {
    /** Monotonic time in ms. */
    readonly now: () => number;
}

interface HealthState {
    /** Monotonic time in ms. */
    backedOffUntil: number;
    consecutiveFailures: number;
    /** Monotonic time in ms until which the target is treated as cold. */
    presumedColdUntil: number;
    errorRate: number;
}

const MIN_BACKOFF_MS = 300;
const MAX_BACKOFF_MS = 3_000;
/** A target that could not be reached may have restarted and be cold before it has reported so. */
const PRESUMED_COLD_MS = 5_000;
const LOSSES_UNTIL_BACKOFF = 2;
/** Weight of the newest sample in the exponential moving averages. */
const SMOOTHING_FACTOR = 0.15;

/** Tracks failures and errors of each target, as observed by this host. */
export class TargetHealth {
    private readonly states = new Map<string, HealthState>();

    constructor(private readonly opts: TargetHealthOptions) {}

    /** Whether the target gets no requests for now because of recent failures. */
    isBackedOff(target: Target): boolean {
        return (this.states.get(targetKey(target))?.backedOffUntil ?? 0) > this.opts.now();
    }

    /** Whether the target may have restarted recently and must be treated as cold. */
    isPresumedCold(target: Target): boolean {
        return (this.states.get(targetKey(target))?.presumedColdUntil ?? 0) > this.opts.now();
    }

    /** Moving average of the share of requests that ended in a server error or without a usable response. */
    errorRate(target: Target): number {
        return this.states.get(targetKey(target))?.errorRate ?? 0;
    }

    /**
     * Records that no connection could be opened, or that another target has the address. Starts a backoff at once and
     * treats the target as cold for `PRESUMED_COLD_MS`.
     */
    recordUnreachable(target: Target): void {
        const state = this.stateOf(target);
        state.presumedColdUntil = this.opts.now() + PRESUMED_COLD_MS;
        this.backOff(state);
    }

    /** Records a request that was sent but brought no usable response; repeated losses start a backoff. */
    recordLoss(target: Target): void {
        const state = this.stateOf(target);
        state.consecutiveFailures++;
        state.errorRate += SMOOTHING_FACTOR * (1 - state.errorRate);
        if (state.consecutiveFailures >= LOSSES_UNTIL_BACKOFF) {
            this.backOff(state);
        }
    }

    /** Records the response to a request that the target has run, which ends a series of failures. */
    recordResponse(target: Target, isError: boolean): void {
        const state = this.stateOf(target);
        state.consecutiveFailures = 0;
        state.errorRate += SMOOTHING_FACTOR * (Number(isError) - state.errorRate);
    }

    /** Ends all backoffs and no longer treats targets as cold, as it was not the targets that could not be reached. */
    forgetUnreachable(): void {
        for (const state of this.states.values()) {
            state.backedOffUntil = 0;
            state.presumedColdUntil = 0;
            state.consecutiveFailures = 0;
        }
    }

    /** Removes the state of all other targets. */
    retain(targets: readonly Target[]): void {
        const keys = new Set(targets.map(targetKey));
        [...this.states.keys()].filter(key => !keys.has(key)).forEach(key => this.states.delete(key));
    }

    /** Starts a backoff, which grows exponentially with the number of failures, with jitter of a quarter either way. */
    private backOff(state: HealthState): void {
        const backoffMs = Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2 ** state.consecutiveFailures++);
        state.backedOffUntil = this.opts.now() + backoffMs * (0.75 + Math.random() / 2);
    }

    private stateOf(target: Target): HealthState {
        const key = targetKey(target);
        let state = this.states.get(key);
        if (state === undefined) {
            state = { backedOffUntil: 0, consecutiveFailures: 0, presumedColdUntil: 0, errorRate: 0 };
            this.states.set(key, state);
        }
        return state;
    }
}
