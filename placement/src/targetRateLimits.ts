import { DecayingRate, type ReplicatedLimits } from "@pistachioreel/limits";
import type { Target } from "./target.js";
import { targetKey } from "./targetKey.js";

interface TargetRateLimitsOptions {
    /** Limits that the hosts share. */
    readonly limits: ReplicatedLimits;
    /** Number of hosts that send requests, this one included. */
    readonly hostCount: () => number;
    /** Monotonic time in ms. */
    readonly now: () => number;
    /** Random numbers from 0 to below 1; `Math.random` by default. */
    readonly random?: () => number;
}

interface LimitedTarget {
    readonly name: string;
    isLimited: boolean;
}

const NAME_PREFIX = "target:";
/** Part of a second's requests that a target with a limit may get at once. */
const BURST_SECONDS = 1;
const MIN_BURST = 2;
/** Targets tolerate some requests above their limit for a short time, so few of the tokens need to stay unused. */
const THINNING_MARGIN = 1.5;
/** All hosts together still send this many requests per second to a target that accepts none, to see whether it does again. */
const MIN_REQUESTS_PER_SECOND = 0.2;
/** Hosts that learn of a limit at the same moment send their first requests within this time, spread at random. */
const MAX_START_DELAY_MS = 1_500;
const DEMAND_TIME_CONSTANT_MS = 2_000;
const MS_PER_SECOND = 1_000;

/** Keeps the requests of all hosts to a target below the rate that the target has stated. */
export class TargetRateLimits {
    private readonly limited = new Map<string, LimitedTarget>();
    /** This host's demand for each target, from which it estimates that of all hosts when a limit is new. */
    private readonly demands = new Map<string, DecayingRate>();
    private readonly random: () => number;

    constructor(private readonly opts: TargetRateLimitsOptions) {
        this.random = opts.random ?? Math.random;
    }

    /**
     * @param key Key of a target's incarnation.
     * @param perSecond Requests per second that the target accepts of all hosts; `undefined` if it has no limit.
     */
    set(key: string, perSecond: number | undefined): void {
        const known = this.limited.get(key);
        if (perSecond === undefined) {
            // The limit is kept, so that the use of all hosts is known if the target states one again.
            if (known !== undefined) {
                known.isLimited = false;
            }
            return;
        }
        const name = `${NAME_PREFIX}${key}`;
        this.limited.set(key, { name, isLimited: true });
        const rate = Math.max(perSecond, MIN_REQUESTS_PER_SECOND);
        const hosts = this.opts.hostCount();
        const delayMs = this.random() * Math.min(MAX_START_DELAY_MS, (hosts - 1) / rate * MS_PER_SECOND);
        const recentDemand = (this.demands.get(key)?.rate ?? 0) * DEMAND_TIME_CONSTANT_MS / MS_PER_SECOND * hosts;
        const burst = Math.max(MIN_BURST, rate * BURST_SECONDS);
        this.opts.limits.set(name, { rate, burst, thinningMargin: THINNING_MARGIN }, { delayMs, recentDemand });
    }

    /** Counts a request for the target and returns whether its limit allows to send it now. */
    tryTake(target: Target): boolean {
        const key = targetKey(target);
        this.demandFor(key).add(1);
        const known = this.limited.get(key);
        return known === undefined || !known.isLimited || this.opts.limits.tryTake(known.name);
    }

    /** Time until the target may accept a request, in ms; 0 if it has no limit. */
    waitMs(target: Target): number {
        const known = this.limited.get(targetKey(target));
        return known === undefined || !known.isLimited ? 0 : this.opts.limits.waitMs(known.name);
    }

    /** Removes the limits of all other targets. */
    retain(targets: readonly Target[]): void {
        const keys = new Set(targets.map(targetKey));
        for (const known of [this.limited, this.demands]) {
            [...known.keys()].filter(key => !keys.has(key)).forEach(key => known.delete(key));
        }
        this.opts.limits.retain(name => !name.startsWith(NAME_PREFIX) || keys.has(name.slice(NAME_PREFIX.length)));
    }

    private demandFor(key: string): DecayingRate {
        let demand = this.demands.get(key);
        if (demand === undefined) {
            demand = new DecayingRate({ timeConstantMs: DEMAND_TIME_CONSTANT_MS, now: this.opts.now });
            this.demands.set(key, demand);
        }
        return demand;
    }
}
