/** Times by which deadlines of the same route differ for other reasons than an earlier attempt, in ms. */
const TOLERANCE_MS = 50;

/** Tells how long callers have been waiting, by how much less time they give than others on the same route. */
export class CallerWaits {
    private readonly longest = new Map<string, number>();

    /** Time that the caller has spent on earlier attempts, in ms. */
    waitedMs(route: string, deadlineMs: number | undefined): number {
        if (deadlineMs === undefined) {
            return 0;
        }
        const longestMs = Math.max(this.longest.get(route) ?? 0, deadlineMs);
        this.longest.set(route, longestMs);
        const waitedMs = longestMs - deadlineMs;
        return waitedMs > TOLERANCE_MS ? waitedMs : 0;
    }
}
