import type { DesiredState, Workspace } from "@pistachioreel/desired-state";
import type { Usage } from "@pistachioreel/fleet";
import { ReplicatedTokenBucket } from "@pistachioreel/limits";

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
                this.bucketOf(name).resize({ rate, burst, share });
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

    /** Requests that this host has received and admitted since its start, by workspace. */
    usage(): Record<string, Usage> {
        return Object.fromEntries(
            [...this.buckets].map(([name, bucket]): [string, Usage] => {
                const { requested, taken } = bucket.collectUse();
                return [name, [requested, taken]];
            }),
        );
    }

    /** Takes into account further requests that other hosts have received and admitted. */
    recordOthersUsage(increases: ReadonlyMap<string, Usage>): void {
        for (const [name, [requested, taken]] of increases) {
            this.buckets.get(name)?.recordOthersUse({ requested, taken });
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
