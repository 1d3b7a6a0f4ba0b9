import type { ShareView } from "@pistachioreel/limits";
import type { FleetState } from "./fleetState.js";

/** Equal shares by the platform's list. Hosts differ on it while it lags, so it serves only until there is a roster. */
export class ListShares implements ShareView {
    constructor(private readonly state: FleetState, private readonly hostId: string) {}

    get size(): number {
        return this.state.hosts.length;
    }

    ownsShare(): boolean {
        return this.state.hosts.some(host => host.id === this.hostId);
    }
}
