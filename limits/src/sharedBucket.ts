interface SharedBucketOptions {
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
}

const MS_PER_SECOND = 1_000;
/** Left unused, as reports of other hosts arrive late. */
const USED_BURST_SHARE = 0.8;

/**
 * Token bucket that every host keeps a copy of. Each host takes tokens from its own copy and hears what the others took,
 * so a copy can go below zero by what others took at the same time; the debt is paid before the next token is given.
 * Hosts that cannot hear each other each use a part of the rate.
 */
export class SharedBucket {
    private tokens = 0;
    private updatedAt: number;
    private size: BucketSize = { rate: 0, burst: 0, share: 1 };
    private taken = 0;
    private readonly takenByPeer = new Map<string, number>();

    constructor(private readonly opts: SharedBucketOptions) {
        this.updatedAt = opts.now();
    }

    /** Tokens that this host has taken since its start. */
    get total(): number {
        return this.taken;
    }

    resize(size: BucketSize): void {
        this.refill();
        this.size = size;
        this.tokens = Math.min(this.tokens, this.capacity);
    }

    tryTake(): boolean {
        this.refill();
        if (this.tokens < 1) {
            return false;
        }
        this.tokens--;
        this.taken++;
        return true;
    }

    /** Time until a token is there, in ms. */
    get waitMs(): number {
        this.refill();
        const rate = this.size.rate * this.size.share;
        return this.tokens >= 1 ? 0 : rate > 0 ? (1 - this.tokens) / rate * MS_PER_SECOND : Infinity;
    }

    /**
     * Takes what another run of a host has taken since its start.
     *
     * @param peer Names the run: a restarted host counts from zero again.
     */
    notePeer(peer: string, total: number): void {
        const before = this.takenByPeer.get(peer);
        this.takenByPeer.set(peer, total);
        // What a host had taken before it was first heard of belongs to a time that has been accounted for.
        if (before !== undefined && total > before) {
            this.refill();
            this.tokens -= total - before;
        }
    }

    private get capacity(): number {
        return Math.max(1, this.size.burst * this.size.share * USED_BURST_SHARE);
    }

    private refill(): void {
        const now = this.opts.now();
        const gained = (now - this.updatedAt) * this.size.rate * this.size.share / MS_PER_SECOND;
        this.tokens = Math.min(this.capacity, this.tokens + gained);
        this.updatedAt = now;
    }
}
