import { DecayingRate } from "./decayingRate.js";

interface ReplicatedTokenBucketOptions {
    /** Monotonic time in ms. */
    readonly now: () => number;
    /** Random numbers from 0 to below 1; `Math.random` by default. */
    readonly random?: () => number;
}

/**
 * Part of the tolerance of a limit that hosts may use, since they learn of each other's tokens with a delay: without it,
 * what they admit too early is refused later, though it is within the limit.
 */
export interface LimitHeadroom {
    /** Additional rate, as a share of the rate. */
    readonly rateShare: number;
    /** Additional tokens that may be taken at once over all hosts. */
    readonly tokens: number;
}

interface BucketSize {
    /** Tokens per second over all hosts. */
    readonly rate: number;
    /** Tokens that may be taken at once over all hosts. */
    readonly burst: number;
    /** Part of rate and burst that the connected hosts may use, from 0 to 1. */
    readonly share: number;
    /**
     * Requests are thinned out to this multiple of the rate, so that the tokens and not the estimated demand decide. A higher
     * one leaves fewer tokens unused, and lets more hosts take one at once.
     */
    readonly thinningMargin?: number;
    readonly headroom?: LimitHeadroom;
}

/** Tokens that were requested from replicas and those taken from them. */
interface BucketUse {
    readonly requested: number;
    readonly taken: number;
}

/** What a host knows of a limit, for one that has just started. */
interface BucketState {
    readonly tokens: number;
    /** Requests per second of all hosts. */
    readonly demand: number;
}

interface BucketStart {
    /** Tokens requested by all hosts in the last seconds, as far as this host can tell; none by default. */
    readonly recentDemand?: number;
    /** Time until the first token is available, in ms; half of the burst is available at once by default. */
    readonly delayMs?: number;
}

const MS_PER_SECOND = 1_000;
/** Usable share of a large burst; the rest is a margin for the delay of other hosts' reports. */
const USABLE_BURST_SHARE = 0.8;
/** Bursts up to this number of tokens are used as a whole, as the margin would be a large part of them. */
const SMALL_BURST = 20;
/** Initial fill level: a host that has just started does not know which tokens the others took recently. */
const INITIAL_FILL_SHARE = 0.5;
/** A replica has learned the demand and what the others take this long after its start. */
const SETTLING_MS = 2_500;
const DEMAND_TIME_CONSTANT_MS = 2_000;
/**
 * Requests are thinned out only if the estimated demand would use up all tokens within this time. It is about the time that
 * the estimate takes to follow the demand. Without it, a burst that the tokens allow was thinned out as excess demand.
 */
const SPARE_HORIZON_S = 2;
/** Requests per second by which the demand may exceed the rate at any limit, as the estimate of a small one is uneven. */
const MIN_MARGIN_PER_SECOND = 2;
const DEFAULT_THINNING_MARGIN = 1.05;

/**
 * Token bucket of which every host keeps a replica. Each host takes tokens from its own replica and subtracts those
 * that the others report. A replica can become negative by what others took at the same time; it must refill to one
 * token before the next is taken. While the demand of all hosts exceeds the rate, each host admits the same fraction of
 * its requests, at random: if all of them took tokens whenever their replicas have some, they would take too many at
 * once, and a fixed part for each host would be too small for the requests that happen to arrive there. Hosts that are
 * cut off from each other use a part of the rate each.
 */
export class ReplicatedTokenBucket {
    private tokens = 0;
    /** Tokens that were left to hosts that are not connected. */
    private absentTokens = 0;
    /** Tokens that the part of the rate of these hosts has gained since. */
    private lateAllowance = 0;
    private isUnsized = true;
    private hasAdopted = false;
    /** Monotonic time in ms. */
    private readonly startedAt: number;
    private updatedAt: number;
    private size: BucketSize = { rate: 0, burst: 0, share: 1 };
    private requested = 0;
    private taken = 0;
    /** Requests that `collectUse` has returned. */
    private collectedRequests = 0;
    /** Demand of all hosts; this host's own is counted when it is reported, so that it is as old as the others'. */
    private readonly totalDemand: DecayingRate;
    private readonly random: () => number;

    constructor(private readonly opts: ReplicatedTokenBucketOptions) {
        const { now, random = Math.random } = opts;
        this.startedAt = this.updatedAt = now();
        this.random = random;
        this.totalDemand = new DecayingRate({ timeConstantMs: DEMAND_TIME_CONSTANT_MS, now });
    }

    /** Returns this host's use of the bucket since its start, to be sent to the other hosts. */
    collectUse(): BucketUse {
        const { requested, taken } = this;
        const increase = requested - this.collectedRequests;
        if (increase > 0) {
            this.totalDemand.add(increase);
            this.collectedRequests = requested;
        }
        return { requested, taken };
    }

    /** Sets rate, burst and the part of them that the connected hosts may use. */
    resize(size: BucketSize): void {
        this.refill();
        const { share: shareBefore } = this.size;
        this.size = size;
        if (this.isUnsized) {
            const [tokens, allTokens] = [size.share, 1].map(share =>
                capacityOf(size.burst, share) * INITIAL_FILL_SHARE
            );
            this.tokens = tokens!;
            this.absentTokens = allTokens! - tokens!;
            this.isUnsized = false;
            return;
        }
        this.moveTokens(shareBefore, size.share);
        this.tokens = Math.min(this.tokens, this.capacity);
    }

    /** Sets what this host assumes before the first reports of others. To be called once, after the first resize. */
    start({ recentDemand = 0, delayMs }: BucketStart): void {
        this.totalDemand.add(recentDemand);
        if (delayMs !== undefined) {
            this.tokens = 1 - delayMs * this.rate / MS_PER_SECOND;
            this.absentTokens = 0;
        }
    }

    /** State to be sent to a host that has just started; `undefined` while this host is one itself. */
    get state(): BucketState | undefined {
        this.refill();
        return this.isSettled ? { tokens: this.tokens, demand: this.totalDemand.rate } : undefined;
    }

    /** Takes over the state of a host that has been running for longer. Ignored unless this one has just started. */
    adopt({ tokens, demand }: BucketState): void {
        if (this.isSettled || this.hasAdopted) {
            return;
        }
        this.refill();
        this.hasAdopted = true;
        this.tokens = Math.min(this.capacity, tokens * this.size.share - this.taken);
        this.absentTokens = Math.max(0, tokens) * (1 - this.size.share);
        this.totalDemand.add(Math.max(0, demand - this.totalDemand.rate) * DEMAND_TIME_CONSTANT_MS / MS_PER_SECOND);
    }

    /** Takes a token if the replica has one and the request is not thinned out. */
    tryTake(): boolean {
        this.refill();
        this.requested++;
        if (this.tokens < 1 || this.random() >= this.admittedFraction) {
            return false;
        }
        this.tokens--;
        this.taken++;
        return true;
    }

    /** Time until a token may be available, in ms; more demand at other hosts can make it longer. */
    get waitMs(): number {
        this.refill();
        const { rate } = this;
        const refillMs = this.tokens >= 1 ? 0 : rate > 0 ? (1 - this.tokens) / rate * MS_PER_SECOND : Infinity;
        return this.admittedFraction < 1 ? Math.max(refillMs, this.excessMs) : refillMs;
    }

    /** Subtracts further tokens that other hosts have taken from their replicas. */
    recordOthersUse({ requested, taken }: BucketUse): void {
        this.refill();
        this.tokens -= taken;
        this.totalDemand.add(requested);
    }

    /** Moves tokens from or to the part of the hosts that are not connected, in proportion to their change. */
    private moveTokens(before: number, after: number): void {
        if (after < before) {
            const moved = Math.max(0, this.tokens) * (1 - after / before);
            this.tokens -= moved;
            this.absentTokens += moved;
        }
        else if (after > before) {
            const part = (after - before) / (1 - before);
            const lateTokens = this.lateAllowance * part;
            // What the others report of the time of the separation came from their part of the rate.
            this.tokens = Math.max(this.tokens, Math.min(0, this.tokens + lateTokens)) + this.absentTokens * part;
            this.lateAllowance -= lateTokens;
            this.absentTokens -= this.absentTokens * part;
        }
    }

    private get isSettled(): boolean {
        return this.opts.now() - this.startedAt >= SETTLING_MS;
    }

    private get rate(): number {
        return this.fleetRate * this.size.share;
    }

    private get capacity(): number {
        return this.capacityFor(this.size.share);
    }

    private capacityFor(share: number): number {
        return capacityOf(this.size.burst + (this.size.headroom?.tokens ?? 0), share);
    }

    /** Rate of all hosts, in tokens per second. */
    private get fleetRate(): number {
        const { rate, headroom } = this.size;
        return rate * (1 + (headroom?.rateShare ?? 0));
    }

    private get admittedFraction(): number {
        const { thinningMargin = DEFAULT_THINNING_MARGIN } = this.size;
        const spare = Math.max(0, this.tokens) / SPARE_HORIZON_S + MIN_MARGIN_PER_SECOND;
        return Math.min(1, (thinningMargin * this.rate + spare) / this.totalDemand.rate);
    }

    /** Time in which the rate admits what the estimated demand has too many, in ms. */
    private get excessMs(): number {
        return (this.totalDemand.rate / this.rate - 1) * MS_PER_SECOND;
    }

    private refill(): void {
        const now = this.opts.now();
        const gained = (now - this.updatedAt) * this.rate / MS_PER_SECOND;
        this.tokens = Math.min(this.capacity, this.tokens + gained);
        this.lateAllowance += (now - this.updatedAt) * this.fleetRate * (1 - this.size.share) / MS_PER_SECOND;
        this.updatedAt = now;
    }
}

/** Largest number of tokens of the hosts that have a share of the burst. */
function capacityOf(fleetBurst: number, share: number): number {
    const burst = fleetBurst * share;
    return Math.max(1, Math.min(burst, SMALL_BURST + (burst - SMALL_BURST) * USABLE_BURST_SHARE));
}
