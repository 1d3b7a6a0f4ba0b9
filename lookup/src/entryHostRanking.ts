interface CandidateHost {
    readonly id: string;
    /** `address:port` of the listener for callers. */
    readonly callers: string;
    readonly availabilityZone: string;
    readonly region: string;
    readonly state: "live" | "leaving";
}

interface CallerLocation {
    /** Nearest first; zones are nearer than regions. */
    readonly availabilityZones: readonly string[];
    readonly regions: readonly string[];
}

interface EntryHostRankingOptions {
    readonly random?: () => number;
    /** Hosts in an answer at most. */
    readonly maxHosts?: number;
    /** Ids of hosts that are overloaded or silent, which are named only if no other host is live. */
    readonly unfit?: ReadonlySet<string>;
}

/** Addresses of hosts that are equally good for a caller. */
type Tier = string[];

/** An answer of all 500 hosts would have 11 KB and take longer to write than to find. */
const DEFAULT_MAX_HOSTS = 10;
/** Places kept for hosts outside the nearest tier, so that a caller survives the loss of a zone. */
const HOSTS_OUTSIDE_NEAREST_TIER = 2;

/**
 * Orders entry hosts for a caller: near before far, in random order among equals, so that callers spread. Hosts that
 * are leaving or unfit are left out while others remain. Immutable; tiers are kept for each place.
 */
export class EntryHostRanking {
    private readonly random: () => number;
    private readonly maxHosts: number;
    private readonly candidates: readonly CandidateHost[];
    private readonly tiers = new WeakMap<CallerLocation, Tier[]>();

    constructor(hosts: readonly CandidateHost[], opts: EntryHostRankingOptions = {}) {
        this.random = opts.random ?? Math.random;
        this.maxHosts = opts.maxHosts ?? DEFAULT_MAX_HOSTS;
        const live = hosts.filter(host => host.state === "live");
        const fit = live.filter(host => opts.unfit?.has(host.id) !== true);
        this.candidates = [fit, live, hosts].find(some => some.length > 0) ?? [];
    }

    /** Addresses of the hosts to use, best first. The same place object should be passed for the same place. */
    rank(location: CallerLocation): string[] {
        const tiers = this.tiersOf(location);
        const addresses: string[] = [];
        tiers.forEach((tier, index) => {
            const reserved = index === 0 && tiers.length > 1
                ? Math.min(HOSTS_OUTSIDE_NEAREST_TIER, this.maxHosts - 1)
                : 0;
            this.appendRandom(tier, this.maxHosts - addresses.length - reserved, addresses);
        });
        return addresses;
    }

    private appendRandom(tier: Tier, maxCount: number, addresses: string[]): void {
        const count = Math.min(maxCount, tier.length);
        for (let index = 0; index < count; index++) {
            const chosenIndex = index + Math.floor(this.random() * (tier.length - index));
            const chosen = tier[chosenIndex] as string;
            tier[chosenIndex] = tier[index] as string;
            tier[index] = chosen;
            addresses.push(chosen);
        }
    }

    private tiersOf(location: CallerLocation): Tier[] {
        const cached = this.tiers.get(location);
        if (cached !== undefined) {
            return cached;
        }
        const groups = new Map<number, Tier>();
        for (const host of this.candidates) {
            const rank = preferenceRank(host, location);
            groups.set(rank, [...groups.get(rank) ?? [], host.callers]);
        }
        const tiers = [...groups].sort(([a], [b]) => a - b).map(([, tier]) => tier);
        this.tiers.set(location, tiers);
        return tiers;
    }
}

/** Position of the host's zone or region in the place's preferences. */
function preferenceRank(host: CandidateHost, { availabilityZones, regions }: CallerLocation): number {
    const zone = availabilityZones.indexOf(host.availabilityZone);
    if (zone >= 0) {
        return zone;
    }
    const region = regions.indexOf(host.region);
    return availabilityZones.length + (region >= 0 ? region : regions.length);
}
