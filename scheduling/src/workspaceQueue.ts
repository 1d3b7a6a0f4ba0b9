import type { QueuedRequest } from "./queuedRequest.js";

/** Requests that can meet their objectives precede those that can't. */
type Timeliness = "onTime" | "late";

/**
 * Requests of one workspace and rank. Those that can meet their objectives are ordered by the earliest objective. Those that can't
 * are ordered by the latest one: their responses have lost the least value.
 */
export class WorkspaceQueue {
    /** Turns that the workspace has had, divided by its weight. */
    virtualTime: number;
    /** Sorted by `objectiveStartAt`, those that are late first; equal ones in order of arrival. */
    private readonly entries: QueuedRequest[] = [];

    constructor(readonly weight: number, virtualTime: number) {
        this.virtualTime = virtualTime;
    }

    get length(): number {
        return this.entries.length;
    }

    [Symbol.iterator](): Iterator<QueuedRequest> {
        return this.entries[Symbol.iterator]();
    }

    insert(entry: QueuedRequest): void {
        this.entries.splice(this.countBefore(entry.objectiveStartAt, true), 0, entry);
    }

    /** Returns whether the entry was in the queue. */
    remove(entry: QueuedRequest): boolean {
        const index = this.entries.indexOf(entry, this.countBefore(entry.objectiveStartAt));
        if (index >= 0) {
            this.entries.splice(index, 1);
        }
        return index >= 0;
    }

    /** First entry in order that isn't to be skipped. */
    next(timeliness: Timeliness, now: number, isSkipped: (entry: QueuedRequest) => boolean): QueuedRequest | undefined {
        const lateCount = this.countBefore(now);
        const step = timeliness === "onTime" ? 1 : -1;
        for (
            let i = timeliness === "onTime" ? lateCount : lateCount - 1;
            i >= 0 && i < this.entries.length;
            i += step
        ) {
            const entry = this.entries[i];
            if (entry !== undefined && !isSkipped(entry)) {
                return entry;
            }
        }
        return undefined;
    }

    /** Entry with the fewest start attempts that isn't to be skipped, if it has fewer than the given one, or else that one. */
    leastAttempted(
        isSkipped: (entry: QueuedRequest) => boolean,
        other: QueuedRequest | undefined,
    ): QueuedRequest | undefined {
        let best = other;
        for (const entry of this.entries) {
            if ((best === undefined || entry.attempts < best.attempts) && !isSkipped(entry)) {
                best = entry;
            }
        }
        return best;
    }

    /** Entries from the last to the first in order. */
    *reversed(now: number): Iterable<QueuedRequest> {
        const lateCount = this.countBefore(now);
        yield* this.entries.slice(0, lateCount);
        yield* this.entries.slice(lateCount).reverse();
    }

    /** Number of entries that precede an entry of this queue. */
    countAhead(entry: QueuedRequest, now: number): number {
        const lateCount = this.countBefore(now);
        const index = this.entries.indexOf(entry);
        return index >= lateCount ? index - lateCount : this.entries.length - 1 - index;
    }

    /** Number of entries before a time, or up to and including it. */
    private countBefore(time: number, isInclusive = false): number {
        let [low, high] = [0, this.entries.length];
        while (low < high) {
            const middle = (low + high) >>> 1;
            const { objectiveStartAt } = this.entries[middle] as QueuedRequest;
            if (objectiveStartAt < time || (isInclusive && objectiveStartAt === time)) {
                low = middle + 1;
            }
            else {
                high = middle;
            }
        }
        return low;
    }
}
