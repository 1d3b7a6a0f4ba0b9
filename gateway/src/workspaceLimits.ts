import type { DesiredState, Workspace } from "@pistachioreel/desired-state";
import { SharedBucket } from "@pistachioreel/limits";

interface WorkspaceLimitsOptions {
    /** Part of the fleet that this host is in touch with, itself included, from 0 to 1. */
    readonly shareInTouch: () => number;
    /** Monotonic time in ms. */
    readonly now: () => number;
}

/** Holds each workspace to its rate and burst over all hosts. */
export class WorkspaceLimits {
    private readonly buckets = new Map<string, SharedBucket>();
    private workspaces: readonly Workspace[] = [];

    constructor(private readonly opts: WorkspaceLimitsOptions) {}

    takeDesiredState({ workspaces }: DesiredState): void {
        this.workspaces = workspaces;
        this.resize();
    }

    /** To be called when hosts come into touch or are lost. */
    resize(): void {
        const share = this.opts.shareInTouch();
        for (const { name, ratePerSecond: rate, burst } of this.workspaces) {
            if (rate > 0) {
                this.bucketOf(name).resize({ rate, burst, share });
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

    /** Requests that this host has admitted for each workspace since its start. */
    totals(): Record<string, number> {
        return Object.fromEntries([...this.buckets].map(([name, bucket]) => [name, bucket.total]));
    }

    notePeer(peer: string, totals: Readonly<Record<string, number>>): void {
        for (const [name, total] of Object.entries(totals)) {
            this.buckets.get(name)?.notePeer(peer, total);
        }
    }

    private bucketOf(name: string): SharedBucket {
        let bucket = this.buckets.get(name);
        if (bucket === undefined) {
            bucket = new SharedBucket({ now: this.opts.now });
            this.buckets.set(name, bucket);
        }
        return bucket;
    }
}
