interface RankedHost {
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
const DEFAULT_LIMIT = 10;
/** Places kept for hosts outside the nearest tier, so that a caller survives the loss of a zone. */
const PLACES_ELSEWHERE = 2;

/**
 * Orders entry hosts for a caller: near before far, in random order among equals, so that callers spread. Hosts that
 * are leaving or unfit are left out while others remain. Immutable; tiers are kept for each place.
 */
export class EntryHostRanking {
    private readonly random: () => number;
    private readonly limit: number;
    private readonly candidates: readonly RankedHost[];
    private readonly tiers = new WeakMap<CallerLocation, Tier[]>();

    constructor(hosts: readonly RankedHost[], opts: EntryHostRankingOptions = {}) {
        this.random = opts.random ?? Math.random;
        this.limit = opts.maxHosts ?? DEFAULT_LIMIT;
        const live = hosts.filter(host => host.state === "live");
        const fit = live.filter(host => opts.unfit?.has(host.id) !== true);
        this.candidates = [fit, live, hosts].find(some => some.length > 0) ?? [];
    }

    /** Addresses of the hosts to use, best first. The same place object should be passed for the same place. */
    rank(place: CallerLocation): string[] {
        const tiers = this.tiersOf(place);
        const answer: string[] = [];
        tiers.forEach((tier, index) => {
            const kept = index === 0 && tiers.length > 1 ? Math.min(PLACES_ELSEWHERE, this.limit - 1) : 0;
            this.takeRandom(tier, this.limit - answer.length - kept, answer);
        });
        return answer;
    }

    private takeRandom(tier: Tier, wanted: number, answer: string[]): void {
        const count = Math.min(wanted, tier.length);
        for (let index = 0; index < count; index++) {
            const other = index + Math.floor(this.random() * (tier.length - index));
            const chosen = tier[other] as string;
            tier[other] = tier[index] as string;
            tier[index] = chosen;
            answer.push(chosen);
        }
    }

    private tiersOf(place: CallerLocation): Tier[] {
        const known = this.tiers.get(place);
        if (known !== undefined) {
            return known;
        }
        const groups = new Map<number, Tier>();
        for (const host of this.candidates) {
            const order = distance(host, place);
            groups.set(order, [...groups.get(order) ?? [], host.callers]);
        }
        const tiers = [...groups].sort(([a], [b]) => a - b).map(([, tier]) => tier);
        this.tiers.set(place, tiers);
        return tiers;
    }
}

/** Position of the host's zone or region in the place's preferences. */
function distance(host: RankedHost, { availabilityZones, regions }: CallerLocation): number {
    const zone = availabilityZones.indexOf(host.availabilityZone);
    if (zone >= 0) {
        return zone;
    }
    const region = regions.indexOf(host.region);
    return availabilityZones.length + (region >= 0 ? region : regions.length);
}
