import { DecayingRate } from "./decayingRate.js";
import { TokenBucket } from "./tokenBucket.js";

interface ReplicatedTokenBucketOptions {
    /** Monotonic time in ms. */
    readonly now: () => number;
}

interface BucketSize {
    /** Tokens a second over all hosts. */
    readonly rate: number;
    /** Tokens that may be taken at once over all hosts. */
    readonly burst: number;
    /** Part of both that the hosts in touch with each other may use, from 0 to 1. */
    readonly share: number;
    /** Hosts in touch with each other, this one included. */
    readonly hosts: number;
}

/** One run of a host. */
interface HostIncarnation {
    readonly hostId: string;
    readonly incarnation: string;
}

/** What one host has been asked for and has given since its start. */
interface BucketUse {
    readonly asked: number;
    readonly taken: number;
}

const MS_PER_SECOND = 1_000;
/** Left unused, as reports of other hosts arrive late. */
const USABLE_BURST_SHARE = 0.8;
/** A host that has just started does not know what the others gave just now. */
const INITIAL_FILL_SHARE = 0.5;
const DEMAND_DECAY_MS = 2_000;
/** From this share of the rate on, hosts keep to their parts of the rate, as reports come too late to prevent an excess. */
const SCARCITY_SHARE = 0.9;

/**
 * Token bucket that every host keeps a copy of. Each host takes tokens from its own copy and hears what the others took,
 * so a copy can go below zero by what others took at the same time; the debt is paid before the next token is given.
 * While more is asked for than there is, each host also keeps to its part of the rate, which follows its part of the
 * demand. Hosts that cannot hear each other each use a part of the rate.
 */
export class ReplicatedTokenBucket {
    private tokens = 0;
    private isUnsized = true;
    private updatedAt: number;
    private size: BucketSize = { rate: 0, burst: 0, share: 1, hosts: 1 };
    private asked = 0;
    private taken = 0;
    private reported: BucketUse = { asked: 0, taken: 0 };
    /** What each other host has reported last, by its id. */
    private readonly peers = new Map<string, BucketUse & Pick<HostIncarnation, "incarnation">>();
    private readonly ownDemand: DecayingRate;
    private readonly totalDemand: DecayingRate;
    private readonly ownBucket: TokenBucket;

    constructor(private readonly opts: ReplicatedTokenBucketOptions) {
        const { now } = opts;
        this.updatedAt = now();
        this.ownDemand = new DecayingRate({ decayMs: DEMAND_DECAY_MS, now });
        this.totalDemand = new DecayingRate({ decayMs: DEMAND_DECAY_MS, now });
        this.ownBucket = new TokenBucket({ rate: 0, capacity: 1, now });
    }

    /**
     * What this host has been asked for and has given since its start, for the other hosts; `undefined` if nothing has
     * changed since the last call. Own demand counts from here on, so that it is as old as that of the others.
     */
    collectReport(): BucketUse | undefined {
        const { asked, taken, reported } = this;
        if (asked === reported.asked) {
            return undefined;
        }
        this.ownDemand.add(asked - reported.asked);
        this.totalDemand.add(asked - reported.asked);
        this.reported = { asked, taken };
        return this.reported;
    }

    resize(size: BucketSize): void {
        this.refill();
        this.size = size;
        this.tokens = this.isUnsized ? this.capacity * INITIAL_FILL_SHARE : Math.min(this.tokens, this.capacity);
        this.isUnsized = false;
    }

    tryTake(): boolean {
        this.refill();
        this.asked++;
        const hasOwnToken = this.ownBucket.level >= 1;
        if (this.tokens < 1 || this.isScarce && !hasOwnToken) {
            return false;
        }
        this.ownBucket.remove(1);
        this.tokens--;
        this.taken++;
        return true;
    }

    /** Time until a token may be there, in ms. */
    get waitMs(): number {
        this.refill();
        const rate = this.rate;
        const sharedMs = this.tokens >= 1 ? 0 : rate > 0 ? (1 - this.tokens) / rate * MS_PER_SECOND : Infinity;
        return Math.max(sharedMs, this.isScarce ? this.ownBucket.waitMs : 0);
    }

    /** Takes what another host reports; a restarted one counts from zero again. */
    applyPeerReport({ hostId, incarnation }: HostIncarnation, use: BucketUse): void {
        const previous = this.peers.get(hostId);
        this.peers.set(hostId, { ...use, incarnation });
        // What a run did before it was first heard of belongs to a time that has been accounted for.
        if (previous?.incarnation === incarnation) {
            this.refill();
            this.tokens -= Math.max(0, use.taken - previous.taken);
            this.totalDemand.add(Math.max(0, use.asked - previous.asked));
        }
    }

    private get rate(): number {
        return this.size.rate * this.size.share;
    }

    private get capacity(): number {
        return Math.max(1, this.size.burst * this.size.share * USABLE_BURST_SHARE);
    }

    private get isScarce(): boolean {
        return this.totalDemand.rate > SCARCITY_SHARE * this.rate;
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
