import { TargetCapacities, TargetPaces } from "@pistachioreel/capacity";
import type { ReplicatedLimits } from "@pistachioreel/limits";
import {
    ProcessingTimes,
    type StatementObserver,
    TargetHealth,
    targetKey,
    TargetLoads,
    TargetRateLimits,
    TargetRegistry,
    TargetStatements,
    WarmCapacities,
    WarmObjects,
} from "@pistachioreel/placement";

interface TargetStateOptions {
    /** Limits that the hosts share. */
    readonly limits: ReplicatedLimits;
    /** Number of hosts that send requests, this one included. */
    readonly hostCount: () => number;
    readonly observer: StatementObserver;
    /** Monotonic time in ms. */
    readonly now: () => number;
}

/** All that a host knows of the targets. */
export class TargetState {
    readonly registry: TargetRegistry;
    readonly loads: TargetLoads;
    readonly warm = new WarmObjects();
    readonly warmCapacities = new WarmCapacities();
    readonly health: TargetHealth;
    readonly capacities: TargetCapacities;
    readonly paces: TargetPaces;
    readonly times = new ProcessingTimes();
    readonly rateLimits: TargetRateLimits;
    readonly statements: TargetStatements;

    constructor({ limits, hostCount, observer, now }: TargetStateOptions) {
        this.registry = new TargetRegistry({ now });
        this.loads = new TargetLoads({ now });
        this.health = new TargetHealth({ now });
        this.capacities = new TargetCapacities({ now });
        this.paces = new TargetPaces({ now });
        this.rateLimits = new TargetRateLimits({ limits, hostCount, now });
        this.statements = new TargetStatements({ observer, rateLimits: this.rateLimits, now });
    }

    /** Removes what is known of targets that are not registered. */
    prune(): void {
        const { all } = this.registry;
        [this.health, this.warm, this.loads, this.statements].forEach(component => component.retain(all));
        const keys = new Set(all.map(targetKey));
        [this.capacities, this.paces].forEach(component => component.retain(keys));
    }
}
