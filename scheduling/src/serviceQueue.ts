import { compareRanks } from "./compareRanks.js";
import type { QueuedRequest } from "./queuedRequest.js";
import type { Rank } from "./rank.js";
import { RankQueue } from "./rankQueue.js";
import type { StartPass } from "./startPass.js";
import { StartRate } from "./startRate.js";

interface ServiceQueueOptions {
    /** Weight of a workspace in the division of turns; above 0. */
    readonly weightOf: (workspace: string | undefined) => number;
}

interface NextRequest {
    readonly entry: QueuedRequest;
    readonly rank: RankQueue;
    readonly isReservedTurn: boolean;
}

/** While several ranks wait, one turn in this many goes to a rank below the highest. */
const RESERVED_TURN_INTERVAL = 10;

/** Waiting requests of one service. */
export class ServiceQueue {
    readonly startRate = new StartRate();
    length = 0;
    /** The queue holds no entry that expires earlier, in monotonic ms. */
    nextExpiryAt = Infinity;
    /** Whether capacity is being assigned. */
    isDispatching = false;
    /** Whether capacity may have become available while other capacity was being assigned. */
    hasNewRoom = false;
    /** From the highest to the lowest; none is empty. */
    private readonly ranks: RankQueue[] = [];
    private turnsSinceReserved = 0;

    constructor(private readonly opts: ServiceQueueOptions) {}

    *[Symbol.iterator](): Iterator<QueuedRequest> {
        for (const rank of this.ranks) {
            yield* rank;
        }
    }

    insert(entry: QueuedRequest): void {
        const { request } = entry;
        let index = this.ranks.findIndex(({ rank }) => compareRanks(rank, request) >= 0);
        index = index < 0 ? this.ranks.length : index;
        const found = this.ranks[index];
        if (found !== undefined && compareRanks(found.rank, request) === 0) {
            found.insert(entry);
        }
        else {
            const { workspacePriority, routePriority } = request;
            const created = new RankQueue({ workspacePriority, routePriority }, this.opts);
            created.insert(entry);
            this.ranks.splice(index, 0, created);
        }
        this.length++;
        this.nextExpiryAt = Math.min(this.nextExpiryAt, entry.latestStartAt);
    }

    /** Returns whether the entry was in the queue. */
    remove(entry: QueuedRequest): boolean {
        const index = this.ranks.findIndex(({ rank }) => compareRanks(rank, entry.request) === 0);
        const found = this.ranks[index];
        if (found?.remove(entry) !== true) {
            return false;
        }
        if (found.length === 0) {
            this.ranks.splice(index, 1);
        }
        this.length--;
        return true;
    }

    /** Removes an entry that has started. */
    removeStarted(entry: QueuedRequest, now: number): void {
        this.startRate.recordStart(now);
        const isContended = this.ranks.length > 1;
        const started = this.ranks.findIndex(({ rank }) => compareRanks(rank, entry.request) === 0);
        this.turnsSinceReserved = isContended && started === 0 ? this.turnsSinceReserved + 1 : 0;
        this.ranks.forEach((rank, index) => {
            if (index === started) {
                rank.recordStart(entry);
                rank.turnsPassed = 0;
            }
            else if (index > started) {
                rank.turnsPassed++;
            }
        });
        this.remove(entry);
    }

    /** The request whose turn is next among those that a pass has not tried. */
    next(now: number, pass: StartPass): NextRequest | undefined {
        const reserved = this.rankWithReservedTurn();
        const ranks = reserved === undefined ? this.ranks : [reserved, ...this.ranks];
        for (const rank of ranks) {
            const entry = pass.next(rank, now);
            if (entry !== undefined) {
                return { entry, rank, isReservedTurn: rank === reserved };
            }
        }
        return undefined;
    }

    /** Entries of the lowest rank, from the last one. */
    reversed(now: number): Iterable<QueuedRequest> {
        return this.ranks.at(-1)?.reversed(now) ?? [];
    }

    /**
     * Estimated time in ms until an entry starts, with the number of requests that it is based on; `undefined` if too little is known.
     * Doesn't include later arrivals of higher ranks.
     */
    expectedWait(entry: QueuedRequest, now: number): { ahead: number; waitMs: number; } | undefined {
        const perMs = this.startRate.perMs(now);
        const index = this.ranks.findIndex(({ rank }) => compareRanks(rank, entry.request) === 0);
        const rank = this.ranks[index];
        if (perMs === undefined || rank === undefined) {
            return undefined;
        }
        const higher = this.ranks.slice(0, index).reduce((total, { length }) => total + length, 0);
        const waitFor = (aheadInRank: number) => {
            const aheadWithTurns = (aheadInRank + 1) * RESERVED_TURN_INTERVAL * this.ranks.length;
            const ahead = Math.min(higher + aheadInRank, aheadWithTurns);
            return { ahead, waitMs: (ahead + 1) / perMs };
        };
        const wait = waitFor(rank.countAhead(entry, now));
        // A request that misses its objective while it waits yields to those that don't, which may be all others of its rank.
        return now + wait.waitMs <= entry.objectiveStartAt ? wait : waitFor(rank.length - 1);
    }

    /** Estimated time in ms until the requests of a rank and of higher ones have started; `undefined` if too little is known. */
    expectedDrainMs(request: Rank, now: number): number | undefined {
        const perMs = this.startRate.perMs(now);
        const ranks = this.ranks.filter(({ rank }) => compareRanks(rank, request) <= 0);
        return perMs === undefined ? undefined : ranks.reduce((total, { length }) => total + length, 0) / perMs;
    }

    counts(): readonly { rank: Rank; waiting: number; }[] {
        return this.ranks.map(({ rank, length }) => ({ rank, waiting: length }));
    }

    /** The rank below the highest that was passed over the most, or the lowest of them, if a reserved turn is due. */
    private rankWithReservedTurn(): RankQueue | undefined {
        if (this.turnsSinceReserved < RESERVED_TURN_INTERVAL - 1) {
            return undefined;
        }
        return this.ranks.slice(1).reduce<RankQueue | undefined>(
            (best, rank) => best === undefined || rank.turnsPassed >= best.turnsPassed ? rank : best,
            undefined,
        );
    }
}
