import type { DesiredState, Workspace } from "@pistachioreel/desired-state";
import { ReplicatedTokenBucket } from "@pistachioreel/limits";
import type { PeerIdentity } from "@pistachioreel/peering";

interface WorkspaceLimitsOptions {
    /** Hosts that this host is in touch with, itself included, and hosts in all. */
    readonly hosts: () => { readonly inTouch: number; readonly total: number; };
    /** Monotonic time in ms. */
    readonly now: () => number;
}

/** Holds each workspace to its rate and burst over all hosts. */
export class WorkspaceLimits {
    private readonly buckets = new Map<string, ReplicatedTokenBucket>();
    private workspaces: readonly Workspace[] = [];

    constructor(private readonly opts: WorkspaceLimitsOptions) {}

    takeDesiredState({ workspaces }: DesiredState): void {
        this.workspaces = workspaces;
        this.resize();
    }

    /** To be called when hosts come into touch or are lost. */
    resize(): void {
        const { inTouch, total } = this.opts.hosts();
        const share = Math.min(1, inTouch / total);
        for (const { name, ratePerSecond: rate, burst } of this.workspaces) {
            if (rate > 0) {
                this.bucketOf(name).resize({ rate, burst, share, hosts: inTouch });
            }
        }
    }

    /** Time after which to come back, in ms, if the workspace is over its limit. */
    admit({ name, ratePerSecond }: Workspace): number | undefined {
        if (ratePerSecond === 0) {
            return undefined;
        }
        const bucket = this.bucketOf(name);
        return bucket.tryTake() ? undefined : bucket.waitMs;
    }

    /** For each workspace with news: requests that this host was asked for and has admitted since its start. */
    takeReport(): Record<string, [asked: number, taken: number]> {
        const report: Record<string, [number, number]> = {};
        for (const [name, bucket] of this.buckets) {
            const use = bucket.collectReport();
            if (use !== undefined) {
                report[name] = [use.asked, use.taken];
            }
        }
        return report;
    }

    notePeer(peer: PeerIdentity, report: Readonly<Record<string, readonly [asked: number, taken: number]>>): void {
        for (const [name, [asked, taken]] of Object.entries(report)) {
            this.buckets.get(name)?.applyPeerReport(peer, { asked, taken });
        }
    }

    private bucketOf(name: string): ReplicatedTokenBucket {
        let bucket = this.buckets.get(name);
        if (bucket === undefined) {
            bucket = new ReplicatedTokenBucket({ now: this.opts.now });
            this.buckets.set(name, bucket);
        }
        return bucket;
    }
}
