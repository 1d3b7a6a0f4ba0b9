interface LoanRequestPacerOptions {
    readonly now: () => number;
    readonly random: () => number;
}

const MIN_INTERVAL_MS = 10;
const MAX_INTERVAL_MS = 800;
/** Longer than an answer takes between the two regions that are farthest apart. */
const REPLY_TIMEOUT_MS = 60;
/** The first request of a series spreads the need over the owners, as most of them have tokens. */
const FIRST_ROUND_DIVISOR = 3;

/** Paces the requests for tokens of one workspace: fast while they find tokens, slower each time they find none. */
export class LoanRequestPacer {
    private failures = 0;
    private startedAt = -Infinity;
    private nextAt = -Infinity;
    private pendingReplies = 0;
    private receivedTokens = 0;
    private requestedTokens = 0;

    constructor(private readonly opts: LoanRequestPacerOptions) {}

    /** Whether the last requests found nothing, so that it is not worth waiting for tokens. */
    get isExhausted(): boolean {
        return this.failures > 1;
    }

    /** Starts a round if one is due; returns how many tokens to ask of each owner, 0 for none. */
    start(missingTokens: number): number {
        const now = this.opts.now();
        const isRoundOver = this.pendingReplies <= 0 || now - this.startedAt >= REPLY_TIMEOUT_MS;
        if (missingTokens <= 0 || now < this.nextAt || !isRoundOver) {
            return 0;
        }
        if (this.requestedTokens > 0) {
            this.failures = this.receivedTokens < Math.min(1, this.requestedTokens) ? this.failures + 1 : 0;
        }
        this.receivedTokens = 0;
        this.pendingReplies = 0;
        this.requestedTokens = missingTokens;
        this.startedAt = now;
        const intervalMs = Math.min(MAX_INTERVAL_MS, MIN_INTERVAL_MS * 2 ** this.failures);
        this.nextAt = now + intervalMs * (0.75 + this.opts.random() / 2);
        return this.failures === 0 ? missingTokens / FIRST_ROUND_DIVISOR : missingTokens;
    }

    /** Counts a request of this round. */
    recordRequest(): void {
        this.pendingReplies++;
    }

    /** Counts an answer and the tokens that came with it. */
    recordReply(tokens: number): void {
        this.pendingReplies--;
        this.receivedTokens += tokens;
    }
}
