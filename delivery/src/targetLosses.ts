interface TargetLossesOptions {
    /** Monotonic time in ms. */
    readonly now: () => number;
}

/** A target that was lost may run again after this time. */
const LOSS_LIFETIME_MS = 2_000;

/** Targets that were lost recently, to tell a target that was gone already from one that a request has crashed. */
export class TargetLosses {
    /** Monotonic time in ms of the last loss of each target, oldest first. */
    private readonly lostAt = new Map<string, number>();

    constructor(private readonly opts: TargetLossesOptions) {}

    /** @param lostMs Time since the loss, in ms. */
    record(targetId: string, lostMs = 0): void {
        const now = this.opts.now();
        for (const [id, at] of this.lostAt) {
            if (now - at <= LOSS_LIFETIME_MS) {
                break;
            }
            this.lostAt.delete(id);
        }
        this.lostAt.delete(targetId);
        this.lostAt.set(targetId, now - lostMs);
    }

    /** Removes a loss that has turned out to be none. */
    forget(targetId: string): void {
        this.lostAt.delete(targetId);
    }

    /** Ids of the targets that were lost recently and may not run again yet. */
    get recent(): string[] {
        const now = this.opts.now();
        return [...this.lostAt].filter(([, at]) => now - at <= LOSS_LIFETIME_MS).map(([id]) => id);
    }

    /** Whether the target was lost shortly before `startedAt`. */
    wasLostBefore(targetId: string, startedAt: number): boolean {
        const at = this.lostAt.get(targetId);
        return at !== undefined && at < startedAt && startedAt - at <= LOSS_LIFETIME_MS;
    }
}
