interface LoanRequestPacerOptions {
    readonly now: () => number;
    readonly random: () => number;
}

const MIN_INTERVAL_MS = 10;
const MAX_INTERVAL_MS = 800;
/** Longer than an answer takes between the two regions that are farthest apart. */
const ANSWER_MS = 60;
/** The first request of a series spreads the need over the owners, as most of them have tokens. */
const FIRST_SPREAD = 3;

/** Paces the requests for tokens of one workspace: fast while they find tokens, slower each time they find none. */
export class LoanRequestPacer {
    private failures = 0;
    private startedAt = -Infinity;
    private nextAt = -Infinity;
    private awaited = 0;
    private found = 0;
    private missing = 0;

    constructor(private readonly opts: LoanRequestPacerOptions) {}

    /** Whether the last requests found nothing, so that it is not worth waiting for tokens. */
    get isExhausted(): boolean {
        return this.failures > 1;
    }

    /** Starts a round if one is due; returns how many tokens to ask of each owner, 0 for none. */
    start(missing: number): number {
        const now = this.opts.now();
        const isAnswered = this.awaited <= 0 || now - this.startedAt >= ANSWER_MS;
        if (missing <= 0 || now < this.nextAt || !isAnswered) {
            return 0;
        }
        if (this.missing > 0) {
            this.failures = this.found < Math.min(1, this.missing) ? this.failures + 1 : 0;
        }
        this.found = 0;
        this.awaited = 0;
        this.missing = missing;
        this.startedAt = now;
        const interval = Math.min(MAX_INTERVAL_MS, MIN_INTERVAL_MS * 2 ** this.failures);
        this.nextAt = now + interval * (0.75 + this.opts.random() / 2);
        return this.failures === 0 ? missing / FIRST_SPREAD : missing;
    }

    /** Counts a request of this round. */
    recordRequest(): void {
        this.awaited++;
    }

    /** Counts an answer and the tokens that came with it. */
    recordReply(tokens: number): void {
        this.awaited--;
        this.found += tokens;
    }
}
