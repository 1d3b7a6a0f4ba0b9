import { DecayingRate } from "./decayingRate.js";
import { TokenBucket } from "./tokenBucket.js";

interface ReplicatedTokenBucketOptions {
    /** Monotonic time in ms. */
    readonly now: () => number;
}

interface BucketSize {
    /** Tokens per second over all hosts. */
    readonly rate: number;
    /** Tokens that may be taken at once over all hosts. */
    readonly burst: number;
    /** Part of rate and burst that the connected hosts may use, from 0 to 1. */
    readonly share: number;
    /** Number of hosts connected to each other, this one included. */
    readonly hosts: number;
}

/** Tokens that were requested from replicas and those taken from them. */
interface BucketUse {
    readonly requested: number;
    readonly taken: number;
}

const MS_PER_SECOND = 1_000;
/** Usable share of the burst; the rest is a margin for the delay of other hosts' reports. */
const USABLE_BURST_SHARE = 0.8;
/** Initial fill level: a host that has just started does not know which tokens the others took recently. */
const INITIAL_FILL_SHARE = 0.5;
const DEMAND_TIME_CONSTANT_MS = 2_000;
/** Demand above this share of the rate binds hosts to their own parts, as reports come too late to prevent excess. */
const SCARCITY_SHARE = 0.9;
/**
 * Below this demand, in requests per second over all hosts, the delay of reports allows only a few requests too many,
 * while a host's own part of the rate would be too small for the requests that happen to arrive there.
 */
const MIN_SCARCE_DEMAND_PER_SECOND = 15;

/**
 * Token bucket of which every host keeps a replica. Each host takes tokens from its own replica and subtracts those
 * that the others report. A replica can become negative by what others took at the same time; it must refill to one
 * token before the next is taken. While the demand is close to the rate or above it, each host also keeps to its own
 * part of the rate, which follows its part of the demand but is at least half of an equal part. Hosts that are cut off
 * from each other use a part of the rate each.
 */
export class ReplicatedTokenBucket {
    private tokens = 0;
    private isUnsized = true;
    private updatedAt: number;
    private size: BucketSize = { rate: 0, burst: 0, share: 1, hosts: 1 };
    private requested = 0;
    private taken = 0;
    /** Requests that `collectUse` has returned. */
    private collectedRequests = 0;
    private readonly ownDemand: DecayingRate;
    private readonly totalDemand: DecayingRate;
    private readonly ownBucket: TokenBucket;

    constructor(private readonly opts: ReplicatedTokenBucketOptions) {
        const { now } = opts;
        this.updatedAt = now();
        this.ownDemand = new DecayingRate({ timeConstantMs: DEMAND_TIME_CONSTANT_MS, now });
        this.totalDemand = new DecayingRate({ timeConstantMs: DEMAND_TIME_CONSTANT_MS, now });
        this.ownBucket = new TokenBucket({ rate: 0, capacity: 1, now });
    }

    /**
     * Returns this host's use of the bucket since its start, to be sent to the other hosts. This host's own demand is
     * counted only here, so that it is as old as that of the others.
     */
    collectUse(): BucketUse {
        const { requested, taken } = this;
        const increase = requested - this.collectedRequests;
        if (increase > 0) {
            this.ownDemand.add(increase);
            this.totalDemand.add(increase);
            this.collectedRequests = requested;
        }
        return { requested, taken };
    }

    /** Sets rate, burst and the part of them that the connected hosts may use. */
    resize(size: BucketSize): void {
        this.refill();
        this.size = size;
        this.tokens = this.isUnsized ? this.capacity * INITIAL_FILL_SHARE : Math.min(this.tokens, this.capacity);
        this.isUnsized = false;
    }

    /** Takes a token if the replica, and under scarcity also this host's own part, has one. */
    tryTake(): boolean {
        this.refill();
        this.requested++;
        const hasOwnToken = this.ownBucket.level >= 1;
        if (this.tokens < 1 || this.isScarce && !hasOwnToken) {
            return false;
        }
        this.ownBucket.remove(1);
        this.tokens--;
        this.taken++;
        return true;
    }

    /** Time until a token may be available, in ms; more demand at other hosts can make it longer. */
    get waitMs(): number {
        this.refill();
        const rate = this.rate;
        const sharedMs = this.tokens >= 1 ? 0 : rate > 0 ? (1 - this.tokens) / rate * MS_PER_SECOND : Infinity;
        return Math.max(sharedMs, this.isScarce ? this.ownBucket.waitMs : 0);
    }

    /** Subtracts further tokens that other hosts have taken from their replicas. */
    recordOthersUse({ requested, taken }: BucketUse): void {
        this.refill();
        this.tokens -= taken;
        this.totalDemand.add(requested);
    }

    private get rate(): number {
        return this.size.rate * this.size.share;
    }

    private get capacity(): number {
        return Math.max(1, this.size.burst * this.size.share * USABLE_BURST_SHARE);
    }

    private get isScarce(): boolean {
        return this.totalDemand.rate > Math.max(SCARCITY_SHARE * this.rate, MIN_SCARCE_DEMAND_PER_SECOND);
    }

    private refill(): void {
        const now = this.opts.now();
        const gained = (now - this.updatedAt) * this.rate / MS_PER_SECOND;
        this.tokens = Math.min(this.capacity, this.tokens + gained);
        this.updatedAt = now;
        const total = this.totalDemand.rate;
        const ownFraction = total > 0
            ? Math.max(this.ownDemand.rate / total, 0.5 / this.size.hosts)
            : 1 / this.size.hosts;
        this.ownBucket.advance(now);
        this.ownBucket.resize(this.rate * ownFraction, Math.max(1, this.capacity * ownFraction));
    }
}
