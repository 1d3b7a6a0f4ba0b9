/** Times by which deadlines of the same route differ for other reasons than an earlier attempt, in ms. */
const DEADLINE_TOLERANCE_MS = 50;
const MAX_COUNTED_DEADLINES = 64;

/** Tells how long callers have been waiting, by how much less time they give than is usual on the route. */
export class CallerWaitEstimator {
    private readonly routes = new Map<string, DeadlineHistogram>();

    /** Time that the caller has spent on earlier attempts, in ms. */
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

/** The deadline that is given most often: first attempts share it, later ones have what is left of it. */
class DeadlineHistogram {
    private readonly counts = new Map<number, number>();
    private mostFrequentMs = 0;

    /** Counts a deadline and returns the usual one, in ms. */
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
