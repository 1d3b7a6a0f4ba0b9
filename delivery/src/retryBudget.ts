interface RetryBudgetOptions {
    /** Monotonic time in ms. */
    readonly now: () => number;
    /** Number of retries allowed per first attempt. */
    readonly share?: number;
    /** Number of retries that are allowed in any case, per second. */
    readonly minPerSecond?: number;
}

const DEFAULT_RETRY_SHARE = 0.1;
const DEFAULT_MIN_PER_SECOND = 3;
const WINDOW_SECONDS = 10;
/** The second in which the window starts counts as a whole, so that no window of 10 s holds more than the budget. */
const COUNTED_SECONDS = WINDOW_SECONDS + 1;
const MS_PER_SECOND = 1_000;

/** Limits the retries within 10 s to a fraction of the first attempts, so that retries cannot amplify an overload. */
export class RetryBudget {
    private readonly firstAttempts = new Array<number>(WINDOW_SECONDS).fill(0);
    private readonly retries = new Array<number>(COUNTED_SECONDS).fill(0);
    private latestSecond: number;

    constructor(private readonly opts: RetryBudgetOptions) {
        this.latestSecond = this.currentSecond();
    }

    /** Counts a request's first attempt. */
    recordFirstAttempt(): void {
        this.advance();
        this.firstAttempts[this.latestSecond % WINDOW_SECONDS]!++;
    }

    /** Charges one retry to the budget; false if it is exhausted. */
    tryTake(): boolean {
        this.advance();
        const { share = DEFAULT_RETRY_SHARE, minPerSecond = DEFAULT_MIN_PER_SECOND } = this.opts;
        const allowed = Math.max(share * sum(this.firstAttempts), minPerSecond * WINDOW_SECONDS);
        if (sum(this.retries) + 1 > allowed) {
            return false;
        }
        this.retries[this.latestSecond % COUNTED_SECONDS]!++;
        return true;
    }

    private advance(): void {
        const current = this.currentSecond();
        const passed = Math.min(current - this.latestSecond, COUNTED_SECONDS);
        for (let i = 1; i <= passed; i++) {
            this.firstAttempts[(this.latestSecond + i) % WINDOW_SECONDS] = 0;
            this.retries[(this.latestSecond + i) % COUNTED_SECONDS] = 0;
        }
        this.latestSecond = current;
    }

    private currentSecond(): number {
        return Math.floor(this.opts.now() / MS_PER_SECOND);
    }
}

function sum(values: readonly number[]): number {
    return values.reduce((total, value) => total + value, 0);
}
