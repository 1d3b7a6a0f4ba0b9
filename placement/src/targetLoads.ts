import type { ReportedLoad } from "./reportedLoad.js";
import type { Target } from "./target.js";

interface TargetLoadsOptions {
    /** Monotonic time in ms. */
    readonly now: () => number;
}

interface TimedReport {
    readonly total: number;
    /** Other requests of this host at the target when the report arrived. */
    readonly ownCount: number;
    readonly receivedAt: number;
}

interface PeerCounts {
    readonly running: ReadonlyMap<string, number>;
    readonly receivedAt: number;
}

/** Up to this age, a target's own report is used instead of the counts from other hosts. */
const REPORT_FRESH_MS = 150;
/** Up to this age, a report is averaged with the counts from other hosts. */
const REPORT_MAX_AGE_MS = 600;
const PEER_MAX_AGE_MS = 1_500;

/** Estimates requests running and queued at each target from own counts, counts of other hosts and target reports. */
export class TargetLoads {
    private readonly ownCounts = new Map<string, number>();
    private readonly reports = new Map<string, TimedReport>();
    /** Latest counts of each other host, oldest first. */
    private readonly peers = new Map<string, PeerCounts>();
    /** Sum over `peers` by target, kept up to date because every placement decision reads it. */
    private readonly peerTotals = new Map<string, number>();
    private readonly fullUntil = new Map<string, number>();

    constructor(private readonly opts: TargetLoadsOptions) {}

    /** Requests of this host in progress, by target id. */
    get running(): ReadonlyMap<string, number> {
        return this.ownCounts;
    }

    /** Counts a request at the target as running until the returned function is called. */
    start(targetId: string): () => void {
        this.ownCounts.set(targetId, this.ownCountOf(targetId) + 1);
        let hasEnded = false;
        return () => {
            if (hasEnded) {
                return;
            }
            hasEnded = true;
            const remaining = this.ownCountOf(targetId) - 1;
            if (remaining > 0) {
                this.ownCounts.set(targetId, remaining);
            }
            else {
                this.ownCounts.delete(targetId);
            }
        };
    }

    /** Records the load that a target reported with a response; the request must still count as running. */
    report(targetId: string, { running, waiting }: ReportedLoad): void {
        this.reports.set(targetId, {
            total: running + waiting,
            ownCount: this.ownCountOf(targetId) - 1,
            receivedAt: this.opts.now(),
        });
    }

    /**
     * Replaces the counts of other hosts that one source reports, by target id; they expire after `PEER_MAX_AGE_MS`.
     * `undefined` removes them.
     */
    setPeerCounts(sourceId: string, running: ReadonlyMap<string, number> | undefined): void {
        this.removePeer(sourceId);
        if (running !== undefined) {
            this.peers.set(sourceId, { running, receivedAt: this.opts.now() });
            this.addToTotals(running, 1);
        }
    }

    /** Records that the target refused a request because its queue was full. */
    recordFull(targetId: string, durationMs: number): void {
        this.fullUntil.set(targetId, this.opts.now() + durationMs);
    }

    /** Whether the target has refused a request within the time given to `recordFull`. */
    isFull(targetId: string): boolean {
        return (this.fullUntil.get(targetId) ?? 0) > this.opts.now();
    }

    /** Estimated requests of all hosts at the target. */
    loadOf(targetId: string): number {
        return this.ownCountOf(targetId) + this.otherHostsCountOf(targetId);
    }

    /** Removes reports and refusals of all other targets. */
    retain(targets: readonly Target[]): void {
        const ids = new Set(targets.map(({ id }) => id));
        for (const known of [this.reports, this.fullUntil]) {
            [...known.keys()].filter(id => !ids.has(id)).forEach(id => known.delete(id));
        }
    }

    private ownCountOf(targetId: string): number {
        return this.ownCounts.get(targetId) ?? 0;
    }

    private otherHostsCountOf(targetId: string): number {
        const now = this.opts.now();
        const report = this.reports.get(targetId);
        const ageMs = report === undefined ? Infinity : now - report.receivedAt;
        const reported = report === undefined ? 0 : Math.max(0, report.total - report.ownCount);
        if (ageMs <= REPORT_FRESH_MS) {
            return reported;
        }
        this.removeStalePeers(now);
        const counted = this.peerTotals.get(targetId) ?? 0;
        return ageMs <= REPORT_MAX_AGE_MS ? (counted + reported) / 2 : counted;
    }

    private removeStalePeers(now: number): void {
        for (const [hostId, { receivedAt }] of this.peers) {
            if (now - receivedAt <= PEER_MAX_AGE_MS) {
                return;
            }
            this.removePeer(hostId);
        }
    }

    private removePeer(hostId: string): void {
        const known = this.peers.get(hostId);
        if (known !== undefined) {
            this.peers.delete(hostId);
            this.addToTotals(known.running, -1);
        }
    }

    private addToTotals(running: ReadonlyMap<string, number>, sign: 1 | -1): void {
        for (const [targetId, count] of running) {
            const total = (this.peerTotals.get(targetId) ?? 0) + sign * count;
            if (total === 0) {
                this.peerTotals.delete(targetId);
            }
            else {
                this.peerTotals.set(targetId, total);
            }
        }
    }
}
