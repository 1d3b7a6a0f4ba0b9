import type { QueuedRequest } from "./queuedRequest.js";
import type { RankQueue } from "./rankQueue.js";

/** Start attempts that may fail in a row, for one rank, before requests of lower ranks are tried. */
const MAX_FAILURES_PER_RANK = 6;
/**
 * The number of these that are made in order. Those that follow are for the requests with the fewest attempts: otherwise, requests for a
 * target that has stopped would be tried each time, and those behind them never.
 */
const MAX_FAILURES_IN_ORDER = 2;

interface StartPassOptions {
    /** Start attempts that may fail in a row before the pass ends. */
    readonly maxFailures: number;
    /** The target whose capacity is assigned; any by default. */
    readonly target?: string;
}

/** Requests that have been tried while capacity of a service is being assigned. */
export class StartPass {
    readonly tried = new Set<QueuedRequest>();
    private failuresInRow = 0;
    private readonly rankFailures = new Map<RankQueue, number>();

    constructor(private readonly opts: StartPassOptions) {}

    get isOver(): boolean {
        return this.failuresInRow >= this.opts.maxFailures;
    }

    /** The request of a rank to try next. */
    next(rank: RankQueue, now: number): QueuedRequest | undefined {
        const failures = this.rankFailures.get(rank) ?? 0;
        if (failures >= MAX_FAILURES_PER_RANK) {
            return undefined;
        }
        return failures < MAX_FAILURES_IN_ORDER ? rank.next(now, this) : rank.leastAttempted(this);
    }

    readonly isSkipped = (entry: QueuedRequest): boolean => {
        const { target } = this.opts;
        return this.tried.has(entry) || (target !== undefined && !entry.canUse(target));
    };

    recordFailure(rank: RankQueue): void {
        this.failuresInRow++;
        this.rankFailures.set(rank, (this.rankFailures.get(rank) ?? 0) + 1);
    }

    recordStart(): void {
        this.failuresInRow = 0;
        this.rankFailures.clear();
    }
}
