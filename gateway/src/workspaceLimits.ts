import type { DesiredState, Workspace } from "@pistachioreel/desired-state";
import type { ReplicatedLimits } from "@pistachioreel/limits";

/** Names of limits that do not belong to a workspace begin like this, and those of workspaces that would look alike. */
const RESERVED_NAME_PATTERN = /^(target|workspace):/;
const NAME_PREFIX = "workspace:";

/**
 * The tolerance of the limit is 10 % and 20 requests in 5 s. With these values the most admitted in 5 s was 0.96 of it, at five
 * times the rate on 60 hosts with a zone that is cut off.
 */
const RATE_HEADROOM = 0.02;
/** Requests. */
const MAX_BURST_HEADROOM = 4;

/** Enforces the rate and burst of each workspace over all hosts. */
export class WorkspaceLimits {
    /** @param limits Limits that the hosts share, by name; those of workspaces have the names of the workspaces. */
    constructor(private readonly limits: ReplicatedLimits) {}

    /** Applies the rates and bursts of a new desired state. */
    applyDesiredState({ workspaces }: Pick<DesiredState, "workspaces">): void {
        for (const { name, ratePerSecond: rate, burst } of workspaces) {
            if (rate > 0) {
                const headroom = { rateShare: RATE_HEADROOM, tokens: Math.min(MAX_BURST_HEADROOM, burst / 2) };
                this.limits.set(limitName(name), { rate, burst, headroom });
            }
        }
    }

    /** Admits a request; if the workspace is over its limit, returns the time after which to retry, in ms. */
    admit({ name, ratePerSecond }: Workspace): number | undefined {
        const limit = limitName(name);
        return ratePerSecond === 0 || this.limits.tryTake(limit) ? undefined : this.limits.waitMs(limit);
    }

    /** Time until the workspace may send a request, in ms; takes nothing. */
    waitMs({ name, ratePerSecond }: Workspace): number {
        return ratePerSecond === 0 ? 0 : this.limits.waitMs(limitName(name));
    }
}

/** Name of a workspace's limit; no other limit has the same one. */
function limitName(workspace: string): string {
    return RESERVED_NAME_PATTERN.test(workspace) ? NAME_PREFIX + workspace : workspace;
}
