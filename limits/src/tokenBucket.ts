interface TokenBucketOptions {
    /** Tokens per second. */
    readonly rate: number;
    readonly capacity: number;
    /** Initial number of tokens; the capacity by default. */
    readonly tokens?: number;
    /** Monotonic time in ms. */
    readonly now: () => number;
}

const MS_PER_SECOND = 1_000;
/** Tolerance for the rounding errors of token fractions that were lent and returned. */
const ROUNDING_TOLERANCE = 1e-9;

/** Token bucket: within any t seconds, at most `capacity + rate * t` tokens can be taken. */
export class TokenBucket {
    private rate: number;
    private maxTokens: number;
    private tokens: number;
    private updatedAt: number;
    private readonly now: () => number;

    constructor(opts: TokenBucketOptions) {
        this.now = opts.now;
        this.rate = opts.rate;
        this.maxTokens = opts.capacity;
        this.tokens = opts.tokens ?? opts.capacity;
        this.updatedAt = this.now();
    }

    get capacity(): number {
        return this.maxTokens;
    }

    /** Number of tokens in the bucket, fractions included. */
    get level(): number {
        this.advance(this.now());
        return this.tokens;
    }

    /** Takes one token if there is one. */
    tryTake(): boolean {
        if (this.level < 1 - ROUNDING_TOLERANCE) {
            return false;
        }
        this.tokens = Math.max(0, this.tokens - 1);
        return true;
    }

    /** Time until a token is available, in ms; infinite if the capacity is below one token or the rate is 0. */
    get waitMs(): number {
        const missing = 1 - this.level;
        if (missing <= 0) {
            return 0;
        }
        return this.maxTokens < 1 ? Infinity : missing / this.rate * MS_PER_SECOND;
    }

    /** Refills up to a monotonic time in ms; a time before the last refill changes nothing. */
    advance(at: number): void {
        const elapsed = Math.max(0, at - this.updatedAt);
        this.tokens = Math.min(this.maxTokens, this.tokens + elapsed * this.rate / MS_PER_SECOND);
        this.updatedAt = Math.max(at, this.updatedAt);
    }

    /** Changes rate and capacity from the last refill on. Tokens above the new capacity are discarded. */
    resize(rate: number, capacity: number): void {
        this.rate = rate;
        this.maxTokens = capacity;
        this.tokens = Math.min(this.tokens, capacity);
    }

    /** Removes up to `count` tokens; returns how many were removed. */
    remove(count: number): number {
        const removed = Math.min(this.tokens, Math.max(0, count));
        this.tokens -= removed;
        return removed;
    }

    /** Adds tokens, up to the capacity. */
    add(count: number): void {
        this.tokens = Math.min(this.maxTokens, this.tokens + count);
    }
}
