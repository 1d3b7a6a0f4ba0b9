import type { DesiredState, Workspace } from "@pistachioreel/desired-state";
import type { ReplicatedLimits } from "@pistachioreel/limits";

/** Enforces the rate and burst of each workspace over all hosts. */
export class WorkspaceLimits {
    /** @param limits Limits that the hosts share, by name; those of workspaces have the names of the workspaces. */
    constructor(private readonly limits: ReplicatedLimits) {}

    /** Applies the rates and bursts of a new desired state. */
    applyDesiredState({ workspaces }: DesiredState): void {
        for (const { name, ratePerSecond: rate, burst } of workspaces) {
            if (rate > 0) {
                this.limits.set(name, { rate, burst });
            }
        }
    }

    /** Admits a request; if the workspace is over its limit, returns the time after which to retry, in ms. */
    admit({ name, ratePerSecond }: Workspace): number | undefined {
        return ratePerSecond === 0 || this.limits.tryTake(name) ? undefined : this.limits.waitMs(name);
    }
}
