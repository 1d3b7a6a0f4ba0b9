interface HostCounts {
    readonly running: ReadonlyMap<string, number>;
    readonly recordedAt: number;
}

/** Counts of a peer expire after this time. */
const MAX_AGE_MS = 2_000;
/** Expiry is checked at this interval only, so that reading a count stays cheap. */
const EXPIRY_CHECK_INTERVAL_MS = 50;

/** Last reported running requests of the other hosts, by target. */
export class PeerCounts {
    private readonly hosts = new Map<string, HostCounts>();
    private readonly totals = new Map<string, number>();
    private checkedAt = -Infinity;

    /** @param now Monotonic time in ms. */
    constructor(private readonly now: () => number) {}

    /** Replaces the counts of a host, which expire by their age since `recordedAt`, a monotonic time in ms. */
    record(hostId: string, running: ReadonlyMap<string, number>, recordedAt: number): void {
        this.remove(hostId);
        this.hosts.set(hostId, { running, recordedAt });
        this.add(running, 1);
    }

    /** Known running requests of all peers on a target. */
    runningOn(targetId: string): number {
        this.removeExpired();
        return this.totals.get(targetId) ?? 0;
    }

    private remove(hostId: string): void {
        const known = this.hosts.get(hostId);
        if (known !== undefined) {
            this.hosts.delete(hostId);
            this.add(known.running, -1);
        }
    }

    private removeExpired(): void {
        const now = this.now();
        if (now - this.checkedAt < EXPIRY_CHECK_INTERVAL_MS) {
            return;
        }
        this.checkedAt = now;
        [...this.hosts].filter(([, { recordedAt }]) => now - recordedAt > MAX_AGE_MS)
            .forEach(([hostId]) => this.remove(hostId));
    }

    private add(running: ReadonlyMap<string, number>, sign: 1 | -1): void {
        for (const [targetId, count] of running) {
            this.totals.set(targetId, (this.totals.get(targetId) ?? 0) + sign * count);
        }
    }
}
