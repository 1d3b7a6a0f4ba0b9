import { DecayingRate } from "@pistachioreel/limits";
import { compareRanks } from "./compareRanks.js";
import type { Rank } from "./rank.js";
import { rankName } from "./rankName.js";

interface SlotReservationOptions {
    /** Monotonic time in ms. */
    readonly now: () => number;
}

interface RankDemand {
    readonly rank: Rank;
    readonly rate: DecayingRate;
}

/** Demand is a mean over about this time, so that ranks whose requests alternate count as competing. */
const DEMAND_TIME_CONSTANT_MS = 2_000;
/** Ranks with fewer requests per second don't count as competing. */
const MIN_COMPETING_RATE = 0.1;
/**
 * Most of a target's capacity that is left to higher ranks. With one slot of each target left to them, 9 in 10 of their requests start
 * without a wait; more slots would only remain idle while lower ranks wait.
 */
const MAX_RESERVED_SHARE = 0.25;

/**
 * While several ranks compete for a service, leaves part of each target's capacity to the higher ones, so that their requests start
 * without waiting for a request of a lower rank to end.
 */
export class SlotReservation {
    private readonly services = new Map<string, Map<string, RankDemand>>();

    constructor(private readonly opts: SlotReservationOptions) {}

    /**
     * Records arrivals of requests, at this host or at others: the requests of a host at which only higher ranks arrive depend on the
     * slots that other hosts leave to them.
     */
    recordDemand(service: string, rank: Rank, requests = 1): void {
        let demands = this.services.get(service);
        if (demands === undefined) {
            demands = new Map();
            this.services.set(service, demands);
        }
        const name = rankName(rank);
        let demand = demands.get(name);
        if (demand === undefined) {
            const { workspacePriority, routePriority } = rank;
            const rate = new DecayingRate({ timeConstantMs: DEMAND_TIME_CONSTANT_MS, now: this.opts.now });
            demand = { rank: { workspacePriority, routePriority }, rate };
            demands.set(name, demand);
        }
        demand.rate.add(requests);
    }

    /**
     * Share of a target's capacity, from 0 to 1, up to which requests of any rank may be running or queued there for a request of this
     * rank to start; to be rounded down to requests, but to no less than 1. The rest is as large as the share of the higher ranks in the demand, up to a limit. A request that has a reserved
     * turn isn't subject to it.
     */
    shareFor(service: string, rank: Rank): number {
        let [higher, total] = [0, 0];
        const demands = this.services.get(service);
        for (const [name, demand] of demands ?? []) {
            const { rate } = demand.rate;
            if (rate < MIN_COMPETING_RATE) {
                demands?.delete(name);
                continue;
            }
            total += rate;
            higher += compareRanks(demand.rank, rank) < 0 ? rate : 0;
        }
        return total === 0 ? 1 : 1 - Math.min(MAX_RESERVED_SHARE, higher / total);
    }
}
