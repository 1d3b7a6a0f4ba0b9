import type { CapacitySample } from "./capacitySample.js";
import { ConcurrencyProfile } from "./concurrencyProfile.js";

interface TargetCapacitiesOptions {
    /** Monotonic time in ms. */
    readonly now: () => number;
}

interface CapacityState {
    readonly profile: ConcurrencyProfile;
    limit: number;
    /** Monotonic time in ms. */
    updatedAt: number;
    /** Monotonic time in ms of the newest sample. */
    recordedAt: number;
}

/** Times in which a limit can change by all slots. */
const RISE_MS = 4_000;
const FALL_MS = 1_000;
/** Without samples, the limit is updated at most this often when it is read. */
const READ_UPDATE_MS = 100;
/** Without samples for this long, nothing that was learned holds any longer. */
const MAX_IDLE_MS = 20_000;
/** A refusal counts as a request that took this many times the unloaded time. */
const REFUSAL_TIME_RATIO = 4;

/**
 * Learns how many concurrent requests each target handles well from the times of its requests by concurrency. Starts at the
 * slots. Follows a change within about 2 s down and 5 s up, provided that the target completes at least 10 requests per second
 * of this host in that time; see docs/design/capacity.md for measured times.
 */
export class TargetCapacities {
    private readonly states = new Map<string, CapacityState>();

    constructor(private readonly opts: TargetCapacitiesOptions) {}

    /** Records a request that has ended. Samples that say nothing about the capacity are ignored. */
    record({ target, concurrency, slots, tookMs, unloadedMs, end }: CapacitySample): void {
        // Above the slots, requests wait at the target whatever its capacity is.
        if (!(concurrency <= slots) || slots < 2 || !Number.isInteger(slots)) {
            return;
        }
        const logRatio = Math.log(end === "refused" ? REFUSAL_TIME_RATIO : tookMs / unloadedMs);
        if (!Number.isFinite(logRatio)) {
            return;
        }
        const state = this.stateOf(target, slots);
        const { profile } = state;
        const atStart = Math.max(1, Math.ceil(concurrency));
        this.update(state);
        // A request that failed would have taken longer than until its failure, so a fast failure says nothing.
        if (end !== "failed" || profile.isSlow(atStart, logRatio)) {
            state.recordedAt = state.updatedAt;
            profile.record(atStart, logRatio, state.limit, state.updatedAt);
        }
    }

    /** Concurrent requests that the target handles well, between 1 and its slots. */
    limitOf(target: string, slots: number): number {
        const state = this.states.get(target);
        if (state === undefined) {
            return slots;
        }
        const now = this.opts.now();
        if (now - state.recordedAt >= MAX_IDLE_MS) {
            this.states.delete(target);
            return slots;
        }
        if (now - state.updatedAt >= READ_UPDATE_MS) {
            this.update(state);
        }
        return Math.max(1, Math.min(slots, Math.floor(state.limit)));
    }

    /** Present limits and slots of all targets of which samples are known, by target. */
    currentLimits(): ReadonlyMap<string, { readonly limit: number; readonly slots: number; }> {
        return new Map(
            [...this.states].map(([target, { profile: { slots } }]) => [
                target,
                { limit: this.limitOf(target, slots), slots },
            ]),
        );
    }

    /** Removes the state of all other targets. */
    retain(targets: ReadonlySet<string>): void {
        [...this.states.keys()].filter(key => !targets.has(key)).forEach(key => this.states.delete(key));
    }

    private update(state: CapacityState): void {
        const now = this.opts.now();
        const elapsedMs = now - state.updatedAt;
        const { profile, limit } = state;
        state.updatedAt = now;
        profile.forgetUnused(now, limit);
        const goal = profile.bestConcurrency();
        state.limit = goal < limit
            ? Math.max(goal, limit - profile.slots * elapsedMs / FALL_MS)
            : Math.min(goal, limit + profile.slots * elapsedMs / RISE_MS);
    }

    private stateOf(target: string, slots: number): CapacityState {
        let state = this.states.get(target);
        if (state === undefined || state.profile.slots !== slots) {
            const now = this.opts.now();
            state = { profile: new ConcurrencyProfile(slots, now), limit: slots, updatedAt: now, recordedAt: now };
            this.states.set(target, state);
        }
        return state;
    }
}
