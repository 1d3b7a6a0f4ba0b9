import { compareRanks } from "./compareRanks.js";
import type { QueuedRequest } from "./queuedRequest.js";
import type { Rank } from "./rank.js";
import { WorkspaceQueue } from "./workspaceQueue.js";

interface RankQueueOptions {
    /** Weight of a workspace in the division of turns; above 0. */
    readonly weightOf: (workspace: string | undefined) => number;
}

interface TriedRequests {
    readonly tried: ReadonlySet<QueuedRequest>;
    /** Whether an entry has been tried or can't use the capacity. */
    readonly isSkipped: (entry: QueuedRequest) => boolean;
}

/** Requests of one rank. Workspaces take turns by weight (start-time fair queueing). */
export class RankQueue {
    /** Turns that higher ranks have had in a row while this rank had requests waiting. */
    turnsPassed = 0;
    length = 0;
    private virtualTime = 0;
    private readonly workspaces = new Map<string | undefined, WorkspaceQueue>();

    constructor(readonly rank: Rank, private readonly opts: RankQueueOptions) {}

    *[Symbol.iterator](): Iterator<QueuedRequest> {
        for (const queue of this.workspaces.values()) {
            yield* queue;
        }
    }

    insert(entry: QueuedRequest): void {
        const { workspace } = entry.request;
        let queue = this.workspaces.get(workspace);
        if (queue === undefined) {
            queue = new WorkspaceQueue(this.opts.weightOf(workspace), this.virtualTime);
            this.workspaces.set(workspace, queue);
        }
        else if (queue.length === 0) {
            // A workspace gains no turns while it has nothing to start.
            queue.virtualTime = Math.max(queue.virtualTime, this.virtualTime);
        }
        queue.insert(entry);
        this.length++;
    }

    /** Returns whether the entry was in the queue. */
    remove(entry: QueuedRequest): boolean {
        const queue = this.workspaces.get(entry.request.workspace);
        if (queue?.remove(entry) !== true) {
            return false;
        }
        this.length--;
        if (queue.length === 0 && queue.virtualTime <= this.virtualTime) {
            this.workspaces.delete(entry.request.workspace);
        }
        return true;
    }

    /** Charges a started entry, which is still in the queue, to its workspace. */
    recordStart({ request }: QueuedRequest): void {
        const queue = this.workspaces.get(request.workspace);
        if (queue === undefined) {
            return;
        }
        this.virtualTime = Math.max(this.virtualTime, queue.virtualTime);
        queue.virtualTime += 1 / queue.weight;
        for (const [workspace, { length, virtualTime }] of this.workspaces) {
            if (length === 0 && virtualTime <= this.virtualTime) {
                this.workspaces.delete(workspace);
            }
        }
    }

    /** First entry in order that isn't to be skipped. Failed attempts count as turns, so that workspaces alternate. */
    next(now: number, { tried, isSkipped }: TriedRequests): QueuedRequest | undefined {
        const failures = new Map<string | undefined, number>();
        for (const { request } of tried) {
            if (compareRanks(request, this.rank) === 0) {
                failures.set(request.workspace, (failures.get(request.workspace) ?? 0) + 1);
            }
        }
        for (const timeliness of ["onTime", "late"] as const) {
            let [best, bestTime]: [QueuedRequest | undefined, number] = [undefined, Infinity];
            for (const [workspace, queue] of this.workspaces) {
                const time = queue.virtualTime + (failures.get(workspace) ?? 0) / queue.weight;
                const entry = time < bestTime ? queue.next(timeliness, now, isSkipped) : undefined;
                if (entry !== undefined) {
                    [best, bestTime] = [entry, time];
                }
            }
            if (best !== undefined) {
                return best;
            }
        }
        return undefined;
    }

    /** Entry with the fewest start attempts that isn't to be skipped. */
    leastAttempted({ isSkipped }: TriedRequests): QueuedRequest | undefined {
        let best: QueuedRequest | undefined;
        for (const queue of this.workspaces.values()) {
            best = queue.leastAttempted(isSkipped, best);
        }
        return best;
    }

    /** Entries of the workspace that would have its last turn the latest, from the last one. */
    reversed(now: number): Iterable<QueuedRequest> {
        let [last, lastTime]: [WorkspaceQueue | undefined, number] = [undefined, -Infinity];
        for (const queue of this.workspaces.values()) {
            const time = queue.virtualTime + queue.length / queue.weight;
            if (queue.length > 0 && time > lastTime) {
                [last, lastTime] = [queue, time];
            }
        }
        return last?.reversed(now) ?? [];
    }

    /** Number of entries that are expected to start before an entry of this queue. */
    countAhead(entry: QueuedRequest, now: number): number {
        const own = this.workspaces.get(entry.request.workspace);
        if (own === undefined) {
            return 0;
        }
        const ownAhead = own.countAhead(entry, now);
        const lastTurn = own.virtualTime + ownAhead / own.weight;
        let ahead = ownAhead;
        for (const queue of this.workspaces.values()) {
            if (queue !== own) {
                const turns = Math.ceil((lastTurn - queue.virtualTime) * queue.weight);
                ahead += Math.min(queue.length, Math.max(0, turns));
            }
        }
        return ahead;
    }
}
