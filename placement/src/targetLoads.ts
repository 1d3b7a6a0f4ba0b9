import type { ReportedLoad } from "./reportedLoad.js";
import type { Target } from "./target.js";

interface TargetLoadsOptions {
    /** Monotonic time in ms. */
    readonly now: () => number;
}

interface KnownReport {
    readonly total: number;
    /** Requests of this host when the report arrived. */
    readonly own: number;
    readonly at: number;
}

interface PeerLoad {
    readonly running: ReadonlyMap<string, number>;
    readonly at: number;
}

/** A report of the target itself is preferred to the counts of peers up to this age, in ms. */
const REPORT_FRESH_MS = 150;
const REPORT_MAX_AGE_MS = 600;
const PEER_MAX_AGE_MS = 1_500;

/** Requests that targets run or hold in their queues: own ones, those of other hosts, and what targets report. */
export class TargetLoads {
    private readonly own = new Map<string, number>();
    private readonly reports = new Map<string, KnownReport>();
    /** What other hosts have running, the oldest first. */
    private readonly peers = new Map<string, PeerLoad>();
    /** Sum over `peers` by target, as it is asked for with each choice. */
    private readonly peerTotals = new Map<string, number>();
    private readonly fullUntil = new Map<string, number>();

    constructor(private readonly opts: TargetLoadsOptions) {}

    /** Requests that this host has at targets now. */
    get running(): ReadonlyMap<string, number> {
        return this.own;
    }

    /** Counts a request at the target; returns the function that ends the count. */
    start(targetId: string): () => void {
        this.own.set(targetId, this.ownOn(targetId) + 1);
        let hasEnded = false;
        return () => {
            if (hasEnded) {
                return;
            }
            hasEnded = true;
            const left = this.ownOn(targetId) - 1;
            if (left > 0) {
                this.own.set(targetId, left);
            }
            else {
                this.own.delete(targetId);
            }
        };
    }

    /** Takes the load that a target reported with the answer to a request that still counts as running. */
    report(targetId: string, { running, waiting }: ReportedLoad): void {
        this.reports.set(targetId, { total: running + waiting, own: this.ownOn(targetId) - 1, at: this.opts.now() });
    }

    setPeerCounts(hostId: string, running: ReadonlyMap<string, number>): void {
        this.dropPeer(hostId);
        this.peers.set(hostId, { running, at: this.opts.now() });
        this.addToTotals(running, 1);
    }

    /** Takes note that the target refused a request because it was full. */
    recordFull(targetId: string, forMs: number): void {
        this.fullUntil.set(targetId, this.opts.now() + forMs);
    }

    isFull(targetId: string): boolean {
        return (this.fullUntil.get(targetId) ?? 0) > this.opts.now();
    }

    /** Requests at the target, of all hosts, as far as is known. */
    loadOf(targetId: string): number {
        return this.ownOn(targetId) + this.othersOn(targetId);
    }

    /** Forgets targets that are gone. */
    retain(targets: readonly Target[]): void {
        const ids = new Set(targets.map(({ id }) => id));
        for (const known of [this.reports, this.fullUntil]) {
            [...known.keys()].filter(id => !ids.has(id)).forEach(id => known.delete(id));
        }
    }

    private ownOn(targetId: string): number {
        return this.own.get(targetId) ?? 0;
    }

    private othersOn(targetId: string): number {
        const now = this.opts.now();
        const report = this.reports.get(targetId);
        const ageMs = report === undefined ? Infinity : now - report.at;
        const reported = report === undefined ? 0 : Math.max(0, report.total - report.own);
        if (ageMs <= REPORT_FRESH_MS) {
            return reported;
        }
        this.dropOldPeers(now);
        const counted = this.peerTotals.get(targetId) ?? 0;
        return ageMs <= REPORT_MAX_AGE_MS ? (counted + reported) / 2 : counted;
    }

    private dropOldPeers(now: number): void {
        for (const [hostId, { at }] of this.peers) {
            if (now - at <= PEER_MAX_AGE_MS) {
                return;
            }
            this.dropPeer(hostId);
        }
    }

    private dropPeer(hostId: string): void {
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
