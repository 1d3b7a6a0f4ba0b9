interface TargetLossesOptions {
    /** Monotonic time in ms. */
    readonly now: () => number;
}

interface Loss {
    readonly digest: string;
    /** Monotonic time in ms. */
    readonly at: number;
}

/** A target that was lost may run again after this time. */
const LOSS_LIFETIME_MS = 2_000;

/** Targets that were lost recently and the requests that they ran then, to tell a killed target from a crashing request. */
export class TargetLosses {
    private readonly byTarget = new Map<string, Loss[]>();

    constructor(private readonly opts: TargetLossesOptions) {}

    record(targetId: string, digest: string): void {
        const now = this.opts.now();
        for (const [id, losses] of this.byTarget) {
            const recent = losses.filter(({ at }) => now - at <= LOSS_LIFETIME_MS);
            if (recent.length > 0) {
                this.byTarget.set(id, recent);
            }
            else {
                this.byTarget.delete(id);
            }
        }
        const known = this.byTarget.get(targetId) ?? [];
        if (!known.some(loss => loss.digest === digest)) {
            this.byTarget.set(targetId, [...known, { digest, at: now }]);
        }
    }

    /** Whether the target was lost while it ran another request, shortly before `startedAt`. */
    wasLostBefore(targetId: string, digest: string, startedAt: number): boolean {
        return this.byTarget.get(targetId)?.some(loss =>
            loss.digest !== digest && loss.at < startedAt && startedAt - loss.at <= LOSS_LIFETIME_MS
        ) ?? false;
    }
}
