import { TokenBucket } from "@pistachioreel/limits";
import type { FleetState } from "./fleetState.js";

interface Admission {
    readonly admitted: boolean;
    readonly retryAfterSeconds: number;
}

const MS_PER_SECOND = 1_000;

/** Admits requests of workspaces within this host's equal share of their rate and burst. */
export class WorkspaceAdmission {
    private readonly buckets = new Map<string, TokenBucket>();

    constructor(private readonly state: FleetState, private readonly now: () => number) {
        state.onChange(() => this.buckets.clear());
    }

    admit(workspace: string): Admission {
        const bucket = this.bucketOf(workspace);
        if (bucket === undefined) {
            return { admitted: false, retryAfterSeconds: 1 };
        }
        const admitted = bucket.tryTake();
        return { admitted, retryAfterSeconds: Math.ceil(bucket.waitMs / MS_PER_SECOND) };
    }

    private bucketOf(workspace: string): TokenBucket | undefined {
        const existing = this.buckets.get(workspace);
        const limit = this.state.configuration?.rules.workspaces[workspace];
        if (existing !== undefined || limit === undefined) {
            return existing;
        }
        const hosts = Math.max(1, this.state.hosts.length);
        const bucket = new TokenBucket({ rate: limit.rate / hosts, capacity: limit.burst / hosts, now: this.now });
        this.buckets.set(workspace, bucket);
        return bucket;
    }
}
