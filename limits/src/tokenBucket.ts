interface TokenBucketOptions {
    /** Tokens per second. */
    readonly rate: number;
    readonly capacity: number;
    /** Tokens at the start; the capacity by default. */
    readonly tokens?: number;
    /** Monotonic time in ms. */
    readonly now: () => number;
}

const MS_PER_SECOND = 1_000;
/** Fractions of tokens that were lent and returned add up to one only within rounding. */
const ROUNDING_TOLERANCE = 1e-9;

/** Token bucket: in any t seconds it gives at most `capacity + rate * t` tokens. */
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

    /** Tokens now. */
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

    /** Time until a token is there, in ms; infinite if there will be none. */
    get waitMs(): number {
        const missing = 1 - this.level;
        if (missing <= 0) {
            return 0;
        }
        return this.maxTokens < 1 ? Infinity : missing / this.rate * MS_PER_SECOND;
    }

    /** Refills up to a time; a time before the last refill changes nothing. */
    advance(at: number): void {
        const elapsed = Math.max(0, at - this.updatedAt);
        this.tokens = Math.min(this.maxTokens, this.tokens + elapsed * this.rate / MS_PER_SECOND);
        this.updatedAt = Math.max(at, this.updatedAt);
    }

    /** Changes rate and capacity from the last refill on. Tokens above the new capacity are lost. */
    resize(rate: number, capacity: number): void {
        this.rate = rate;
        this.maxTokens = capacity;
        this.tokens = Math.min(this.tokens, capacity);
    }

    /** Takes out at most a number of tokens; returns how many. */
    remove(count: number): number {
        const removed = Math.min(this.tokens, Math.max(0, count));
        this.tokens -= removed;
        return removed;
    }

    /** Puts tokens in, up to the capacity. */
    add(count: number): void {
        this.tokens = Math.min(this.maxTokens, this.tokens + count);
    }
}
