interface LoanRequestPacerOptions {
    /** Monotonic time in ms. */
    readonly now: () => number;
    /** Random number from 0 to 1. */
    readonly random: () => number;
}

const MIN_INTERVAL_MS = 10;
const MAX_INTERVAL_MS = 800;
/** Longer than a round trip between the two regions that are farthest apart. */
const REPLY_TIMEOUT_MS = 60;
/** Unless the last round failed, each owner is asked for the missing tokens divided by this, as most have some. */
const FIRST_ROUND_DIVISOR = 3;

/** Paces the requests for tokens of one workspace: at short intervals while they yield tokens, else with backoff. */
export class LoanRequestPacer {
    private failures = 0;
    private startedAt = -Infinity;
    private nextAt = -Infinity;
    private pendingReplies = 0;
    /** Tokens received in this round. */
    private found = 0;
    /** Tokens missing when this round started. */
    private missing = 0;

    constructor(private readonly opts: LoanRequestPacerOptions) {}

    /** Whether two or more rounds in a row yielded neither a token nor what was missing: waiting is then pointless. */
    get isExhausted(): boolean {
        return this.failures > 1;
    }

    /** Starts a round of requests if one is due. Returns the tokens to request from each owner, 0 if none is due. */
    start(missing: number): number {
        const now = this.opts.now();
        const isRoundOver = this.pendingReplies <= 0 || now - this.startedAt >= REPLY_TIMEOUT_MS;
        if (missing <= 0 || now < this.nextAt || !isRoundOver) {
            return 0;
        }
        if (this.missing > 0) {
            this.failures = this.found < Math.min(1, this.missing) ? this.failures + 1 : 0;
        }
        this.found = 0;
        this.pendingReplies = 0;
        this.missing = missing;
        this.startedAt = now;
        const intervalMs = Math.min(MAX_INTERVAL_MS, MIN_INTERVAL_MS * 2 ** this.failures);
        this.nextAt = now + intervalMs * (0.75 + this.opts.random() / 2);
        return this.failures === 0 ? missing / FIRST_ROUND_DIVISOR : missing;
    }

    /** Counts a request sent in this round. */
    recordRequest(): void {
        this.pendingReplies++;
    }

    /** Counts a reply and the tokens that came with it. */
    recordReply(tokens: number): void {
        this.pendingReplies--;
        this.found += tokens;
    }
}
