import type { DesiredState, Workspace } from "@pistachioreel/desired-state";
import { ReplicatedTokenBucket } from "@pistachioreel/limits";
import type { PeerIdentity } from "@pistachioreel/peering";

interface WorkspaceLimitsOptions {
    /** Number of hosts with a link to this host, itself included, and number of all hosts. */
    readonly hosts: () => { readonly linked: number; readonly total: number; };
    /** Monotonic time in ms. */
    readonly now: () => number;
}

/** Enforces the rate and burst of each workspace over all hosts. */
export class WorkspaceLimits {
    private readonly buckets = new Map<string, ReplicatedTokenBucket>();
    private workspaces: readonly Workspace[] = [];

    constructor(private readonly opts: WorkspaceLimitsOptions) {}

    /** Applies the rates and bursts of a new desired state. */
    applyDesiredState({ workspaces }: DesiredState): void {
        this.workspaces = workspaces;
        this.resize();
    }

    /** Adjusts this host's share of the limits. To be called when links open or close, or the list of hosts changes. */
    resize(): void {
        const { linked, total } = this.opts.hosts();
        const share = Math.min(1, linked / total);
        for (const { name, ratePerSecond: rate, burst } of this.workspaces) {
            if (rate > 0) {
                this.bucketOf(name).resize({ rate, burst, share, hosts: linked });
            }
        }
    }

    /** Admits a request; if the workspace is over its limit, returns the time after which to retry, in ms. */
    admit({ name, ratePerSecond }: Workspace): number | undefined {
        if (ratePerSecond === 0) {
            return undefined;
        }
        const bucket = this.bucketOf(name);
        return bucket.tryTake() ? undefined : bucket.waitMs;
    }

    /** Requests that this host has received and admitted since its start, for each workspace whose numbers changed. */
    collectReport(): Record<string, [requested: number, taken: number]> {
        const report: Record<string, [number, number]> = {};
        for (const [name, bucket] of this.buckets) {
            const usage = bucket.collectReport();
            if (usage !== undefined) {
                report[name] = [usage.requested, usage.taken];
            }
        }
        return report;
    }

    /** Records the numbers that a peer has collected with `collectReport`. */
    recordPeerReport(
        peer: PeerIdentity,
        report: Readonly<Record<string, readonly [requested: number, taken: number]>>,
    ): void {
        for (const [name, [requested, taken]] of Object.entries(report)) {
            this.buckets.get(name)?.applyPeerReport(peer, { requested, taken });
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
