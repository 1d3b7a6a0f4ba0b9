import { rankHosts } from "@pistachioreel/membership";
import type { ListedHost } from "./listedHost.js";

interface RelayTopologyOptions {
    readonly hostId: string;
    readonly availabilityZone: string;
    /** Time for which this host has tried without success to have a link to the host, in ms; 0 if it is linked. */
    readonly unlinkedMs: (hostId: string) => number;
}

/** Links that a host wants to have. */
interface WantedLinks {
    /** Hosts to link to, most preferred first within each availability zone. */
    readonly hostIds: readonly string[];
    /** Whether this host is a relay of its availability zone. */
    readonly isRelay: boolean;
}

/** Relays of each availability zone. Two of them, so that the loss of one interrupts nothing. */
const RELAYS_PER_ZONE = 2;
/** Hosts of the fleet that follow the store, in different availability zones, so that the loss of one of them leaves another. */
const MAX_FOLLOWERS = 2;
/** A relay without a link for this time is assumed to be lost, and the next host in the order is used too. */
const FAILOVER_MS = 800;
/** Bounds the links that are tried at once to an availability zone that cannot be reached. */
const MAX_CANDIDATES_PER_ZONE = 6;

/**
 * Chooses the links of one host. Every host links to the relays of its availability zone, and relays also link to the
 * relays of the other zones, so the number of links of a host grows with the number of zones and with the size of its
 * own zone, and not with the size of the fleet. Hosts that know the same fleet choose the same relays without
 * communicating; where they disagree, a host becomes a relay as soon as another one uses it as such.
 */
export class RelayTopology {
    /** Hosts of each availability zone, most preferred relay first. */
    private rankedZones = new Map<string, readonly string[]>();
    private positions = new Map<string, number>();

    constructor(private readonly opts: RelayTopologyOptions) {}

    /** Replaces the known hosts. This host counts as known even if it is not listed. */
    setHosts(hosts: readonly ListedHost[]): void {
        const { hostId, availabilityZone } = this.opts;
        const own = { hostId, availabilityZone, cores: 0 };
        const known = hosts.some(host => host.hostId === hostId) ? hosts : [...hosts, own];
        const zones = [...new Set(known.map(host => host.availabilityZone))];
        this.rankedZones = new Map(
            zones.map(zone => [zone, rankZone(zone, known.filter(host => host.availabilityZone === zone))]),
        );
        this.positions = new Map(
            [...this.rankedZones.values()].flatMap(ranked => ranked.map((id, index): [string, number] => [id, index])),
        );
    }

    /** Position of a host in the order of its availability zone; hosts that are not known come last. */
    positionOf(hostId: string): number {
        return this.positions.get(hostId) ?? Infinity;
    }

    /** Number of relays of all availability zones, if none is lost. */
    get relayCount(): number {
        return [...this.rankedZones.values()].reduce(
            (sum, ranked) => sum + Math.min(RELAYS_PER_ZONE, ranked.length),
            0,
        );
    }

    /** Hosts that follow the store for all others, if none is lost: the first relays of the availability zones. */
    get followers(): readonly string[] {
        return this.followerOrder.slice(0, MAX_FOLLOWERS);
    }

    /** Position in the order in which relays follow the store; the number of relays if the host is none of them. */
    followerIndexOf(hostId: string): number {
        const order = this.followerOrder;
        const index = order.indexOf(hostId);
        return index === -1 ? order.length : index;
    }

    /** The most preferred host of an availability zone is its first relay. */
    isFirstOfOwnZone(hostId: string): boolean {
        return this.rankedZones.get(this.opts.availabilityZone)?.[0] === hostId;
    }

    /**
     * @param users Hosts of the own availability zone that have opened a link to this one.
     * @param needsOtherZones Whether to link to relays of other zones also if this host is no relay.
     */
    wantedLinks(users: readonly string[], { needsOtherZones = false } = {}): WantedLinks {
        const { hostId, availabilityZone } = this.opts;
        const ownZone = this.chooseRelays(availabilityZone);
        const isRelay = ownZone.includes(hostId) || users.some(user => !ownZone.includes(user));
        const others = isRelay || needsOtherZones
            ? [...this.rankedZones.keys()].filter(zone => zone !== availabilityZone)
                .flatMap(zone => this.chooseRelays(zone))
            : [];
        return { hostIds: [...ownZone, ...others].filter(id => id !== hostId), isRelay };
    }

    /** Relays of all availability zones, the first ones of each zone before the second ones. */
    private get followerOrder(): string[] {
        const zones = [...this.rankedZones].toSorted(([a], [b]) => a < b ? -1 : 1).map(([, ranked]) => ranked);
        return Array.from({ length: RELAYS_PER_ZONE }, (_, index) => zones.flatMap(ranked => ranked[index] ?? []))
            .flat();
    }

    /** The first hosts of the order, and one more for each of them that seems to be lost. */
    private chooseRelays(zone: string): string[] {
        const chosen: string[] = [];
        let usable = 0;
        for (const id of this.rankedZones.get(zone) ?? []) {
            if (usable === RELAYS_PER_ZONE || chosen.length === MAX_CANDIDATES_PER_ZONE) {
                break;
            }
            chosen.push(id);
            usable += Number(id === this.opts.hostId || this.opts.unlinkedMs(id) < FAILOVER_MS);
        }
        return chosen;
    }
}

function rankZone(zone: string, hosts: readonly ListedHost[]): string[] {
    const hashOrder = rankHosts(zone, hosts.map(({ hostId }) => hostId));
    const hashPositions = new Map(hashOrder.map((id, index) => [id, index]));
    return hosts
        .toSorted((a, b) => b.cores - a.cores || hashPositions.get(a.hostId)! - hashPositions.get(b.hostId)!)
        .map(({ hostId }) => hostId);
}
