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

/** Token bucket: in any t seconds it gives at most `capacity + rate * t` tokens. */
export class TokenBucket {
    private tokens: number;
    private updatedAt: number;
    private readonly now: () => number;

    constructor(private readonly opts: TokenBucketOptions) {
        this.now = opts.now;
        this.tokens = opts.tokens ?? opts.capacity;
        this.updatedAt = this.now();
    }

    /** Takes one token if there is one. */
    tryTake(): boolean {
        this.refill();
        if (this.tokens < 1) {
            return false;
        }
        this.tokens--;
        return true;
    }

    /** Time until a token is there, in ms. */
    get waitMs(): number {
        this.refill();
        return this.tokens >= 1 ? 0 : (1 - this.tokens) / this.opts.rate * MS_PER_SECOND;
    }

    private refill(): void {
        const now = this.now();
        const gained = (now - this.updatedAt) * this.opts.rate / MS_PER_SECOND;
        this.tokens = Math.min(this.opts.capacity, this.tokens + gained);
        this.updatedAt = now;
    }
}
