interface CandidateHost {
    readonly id: string;
    /** `address:port` of the listener for callers. */
    readonly callers: string;
    readonly availabilityZone: string;
    readonly region: string;
    readonly state: "live" | "leaving";
}

interface CallerLocation {
    /** In order of preference; all zones precede all regions. */
    readonly availabilityZones: readonly string[];
    readonly regions: readonly string[];
}

interface EntryHostRankingOptions {
    /** Random number source with the range of `Math.random`, which is the default. */
    readonly random?: () => number;
    /** Maximum number of hosts in a result. */
    readonly maxHosts?: number;
    /** Ids of hosts that are overloaded, leaving or silent; they are ranked only if no other host is live. */
    readonly unfit?: ReadonlySet<string>;
}

/** Addresses of hosts with the same rank for a caller. */
type Tier = string[];

/** A response with all 500 hosts would have 11 KB and take longer to serialize than to compute. */
const DEFAULT_MAX_HOSTS = 10;
/** Number of hosts of a result that are reserved for other tiers, so that it still has live hosts if a zone fails. */
const HOSTS_OUTSIDE_NEAREST_TIER = 2;

/**
 * Ranks entry hosts for a caller by its preferred zones and regions. Hosts of the same rank are in random order, which
 * distributes callers evenly. Hosts that are leaving or unfit are left out as long as there are others. The set of
 * hosts is fixed; tiers are cached for each location.
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
        this.candidates = [fit, live, hosts].find(group => group.length > 0) ?? [];
    }

    /**
     * Returns the addresses of the hosts to use, best first.
     *
     * @param location Cache key of the tiers: calls for the same location should pass the same object.
     */
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

    /** Appends up to `maxCount` random addresses of the tier by a partial shuffle in place. */
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

/** Returns the position of the host's zone or region in the preferences of a location; hosts of neither come last. */
function preferenceRank(host: CandidateHost, { availabilityZones, regions }: CallerLocation): number {
    const zone = availabilityZones.indexOf(host.availabilityZone);
    if (zone >= 0) {
        return zone;
    }
    const region = regions.indexOf(host.region);
    return availabilityZones.length + (region >= 0 ? region : regions.length);
}
