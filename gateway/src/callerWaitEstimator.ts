/** Times by which deadlines of the same route differ for other reasons than an earlier attempt, in ms. */
const TOLERANCE_MS = 50;
const MAX_COUNTED_DEADLINES = 64;

/** Tells how long callers have been waiting, by how much less time they give than is usual on the route. */
export class CallerWaitEstimator {
    private readonly routes = new Map<string, UsualDeadline>();

    /** Time that the caller has spent on earlier attempts, in ms. */
    waitedMs(route: string, deadlineMs: number | undefined): number {
        if (deadlineMs === undefined) {
            return 0;
        }
        let usual = this.routes.get(route);
        if (usual === undefined) {
            usual = new UsualDeadline();
            this.routes.set(route, usual);
        }
        const waitedMs = usual.note(deadlineMs) - deadlineMs;
        return waitedMs > TOLERANCE_MS ? waitedMs : 0;
    }
}

/** The deadline that is given most often: first attempts share it, later ones have what is left of it. */
class UsualDeadline {
    private readonly counts = new Map<number, number>();
    private usualMs = 0;

    /** Counts a deadline and returns the usual one, in ms. */
    note(deadlineMs: number): number {
        const count = (this.counts.get(deadlineMs) ?? 0) + 1;
        this.counts.set(deadlineMs, count);
        if (count >= (this.counts.get(this.usualMs) ?? 0)) {
            this.usualMs = deadlineMs;
        }
        if (this.counts.size > MAX_COUNTED_DEADLINES) {
            const usualCount = this.counts.get(this.usualMs) ?? 0;
            this.counts.clear();
            this.counts.set(this.usualMs, usualCount);
        }
        return this.usualMs;
    }
}
