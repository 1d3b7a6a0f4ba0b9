import type { Target } from "./target.js";
import { targetKey } from "./targetKey.js";

interface TargetHealthOptions {
    /** Monotonic time in ms. */
    readonly now: () => number;
}

interface HealthState {
    blockedUntil: number;
    consecutiveFailures: number;
    /** Until then the target gets no more than a cold one would. */
    presumedColdUntil: number;
    errorRate: number;
    latencyRatio: number;
}

const MIN_BLOCK_MS = 300;
const MAX_BLOCK_MS = 3_000;
/** A target that could not be reached may have restarted, and may be cold without having said so yet. */
const PRESUMED_COLD_MS = 5_000;
const LOSSES_UNTIL_BLOCK = 2;
const SMOOTHING_WEIGHT = 0.15;
const MAX_LATENCY_RATIO = 12;

/** What this host has experienced with each target: failures, errors and slowness. */
export class TargetHealth {
    private readonly states = new Map<string, HealthState>();

    constructor(private readonly opts: TargetHealthOptions) {}

    isBlocked(target: Target): boolean {
        return (this.states.get(targetKey(target))?.blockedUntil ?? 0) > this.opts.now();
    }

    /** Whether the target may have restarted without this host knowing. */
    isPresumedCold(target: Target): boolean {
        return (this.states.get(targetKey(target))?.presumedColdUntil ?? 0) > this.opts.now();
    }

    /** Share of answers that were errors, lately. */
    errorRate(target: Target): number {
        return this.states.get(targetKey(target))?.errorRate ?? 0;
    }

    /** How many times longer than expected the target takes. */
    latencyRatio(target: Target): number {
        return this.states.get(targetKey(target))?.latencyRatio ?? 1;
    }

    recordUnreachable(target: Target): void {
        const state = this.stateOf(target);
        state.presumedColdUntil = this.opts.now() + PRESUMED_COLD_MS;
        this.block(state);
    }

    recordLoss(target: Target): void {
        const state = this.stateOf(target);
        state.consecutiveFailures++;
        state.errorRate += SMOOTHING_WEIGHT * (1 - state.errorRate);
        if (state.consecutiveFailures >= LOSSES_UNTIL_BLOCK) {
            this.block(state);
        }
    }

    recordResponse(target: Target, isError: boolean): void {
        const state = this.stateOf(target);
        state.consecutiveFailures = 0;
        state.errorRate += SMOOTHING_WEIGHT * (Number(isError) - state.errorRate);
    }

    /** @param ratio Time that a request took, or had taken when it was ended, relative to what was expected. */
    recordLatencyRatio(target: Target, ratio: number): void {
        const state = this.stateOf(target);
        state.latencyRatio += SMOOTHING_WEIGHT * (Math.min(MAX_LATENCY_RATIO, ratio) - state.latencyRatio);
    }

    /** Forgets targets that are gone. */
    retain(targets: readonly Target[]): void {
        const keys = new Set(targets.map(targetKey));
        [...this.states.keys()].filter(key => !keys.has(key)).forEach(key => this.states.delete(key));
    }

    private block(state: HealthState): void {
        const blockMs = Math.min(MAX_BLOCK_MS, MIN_BLOCK_MS * 2 ** state.consecutiveFailures++);
        state.blockedUntil = this.opts.now() + blockMs * (0.75 + Math.random() / 2);
    }

    private stateOf(target: Target): HealthState {
        const key = targetKey(target);
        let state = this.states.get(key);
        if (state === undefined) {
            state = { blockedUntil: 0, consecutiveFailures: 0, presumedColdUntil: 0, errorRate: 0, latencyRatio: 1 };
            this.states.set(key, state);
        }
        return state;
    }
}
