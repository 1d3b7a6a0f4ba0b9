/** Deadlines on a route differ by up to this much even without an earlier attempt, in ms. */
const DEADLINE_TOLERANCE_MS = 50;
/** Distinct deadlines counted on a route. Above it all but the most frequent are evicted, which bounds memory. */
const MAX_COUNTED_DEADLINES = 64;

/** Estimates how long a caller has been waiting, from how far its deadline is below the route's most frequent one. */
export class CallerWaitEstimator {
    private readonly routes = new Map<string, DeadlineHistogram>();

    /**
     * Estimated time that the caller has spent on earlier attempts, in ms.
     *
     * @param route Key of the route.
     */
    waitedMs(route: string, deadlineMs: number | undefined): number {
        if (deadlineMs === undefined) {
            return 0;
        }
        let deadlines = this.routes.get(route);
        if (deadlines === undefined) {
            deadlines = new DeadlineHistogram();
            this.routes.set(route, deadlines);
        }
        const waitedMs = deadlines.record(deadlineMs) - deadlineMs;
        return waitedMs > DEADLINE_TOLERANCE_MS ? waitedMs : 0;
    }
}

/**
 * Counts of the deadlines seen on a route. First attempts share the most frequent deadline; retries carry what remains
 * of it.
 */
class DeadlineHistogram {
    private readonly counts = new Map<number, number>();
    private mostFrequentMs = 0;

    /** Counts a deadline and returns the most frequent one, in ms. */
    record(deadlineMs: number): number {
        const count = (this.counts.get(deadlineMs) ?? 0) + 1;
        this.counts.set(deadlineMs, count);
        if (count >= (this.counts.get(this.mostFrequentMs) ?? 0)) {
            this.mostFrequentMs = deadlineMs;
        }
        if (this.counts.size > MAX_COUNTED_DEADLINES) {
            const highestCount = this.counts.get(this.mostFrequentMs) ?? 0;
            this.counts.clear();
            this.counts.set(this.mostFrequentMs, highestCount);
        }
        return this.mostFrequentMs;
    }
}
