interface RankedHost {
    readonly id: string;
    /** `address:port` of the listener for callers. */
    readonly callers: string;
    readonly availabilityZone: string;
    readonly region: string;
    readonly state: "live" | "leaving";
}

interface CallerPlace {
    readonly availabilityZone: string;
    readonly region: string;
}

interface EntryHostRankingOptions {
    readonly random?: () => number;
}

/** Orders entry hosts for a caller: near before far, in random order among equals; leaving hosts are left out. */
export class EntryHostRanking {
    private readonly random: () => number;

    constructor(private readonly hosts: readonly RankedHost[], opts: EntryHostRankingOptions = {}) {
        this.random = opts.random ?? Math.random;
    }

    /** Addresses of the hosts to use, best first. */
    rank(place: CallerPlace): string[] {
        return this.hosts
            .filter(host => host.state === "live")
            .map(host => ({ callers: host.callers, order: distance(host, place) + this.random() }))
            .sort((a, b) => a.order - b.order)
            .map(host => host.callers);
    }
}

function distance(host: RankedHost, place: CallerPlace): number {
    if (host.availabilityZone === place.availabilityZone) {
        return 0;
    }
    return host.region === place.region ? 1 : 2;
}
