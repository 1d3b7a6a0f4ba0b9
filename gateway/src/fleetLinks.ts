import { FleetView, type FleetViewObserver, RelayTopology } from "@pistachioreel/fleet";
import type { Logger } from "@pistachioreel/logging";
import type { WebSocketMesh } from "@pistachioreel/peering";
import { runPeriodically } from "@pistachioreel/runtime";
import { isDeepStrictEqual } from "node:util";
import type { AnnouncedHost } from "./announcedHost.js";
import type { DetourHost } from "./detourHost.js";
import type { StoreGate } from "./storeGate.js";

interface FleetLinksOptions {
    readonly hostId: string;
    readonly availabilityZone: string;
    readonly region: string;
    readonly mesh: Pick<WebSocketMesh, "hasOpenedLink" | "peers" | "setPeers" | "unlinkedMs">;
    readonly gate: StoreGate;
    readonly observer: FleetViewObserver;
    /** Whether all hosts of the fleet start for the first time. */
    readonly isFirstStart: boolean;
    /** Whether the hosts of the fleet are known. */
    readonly knowsHosts: () => boolean;
    /** Whether this host reaches no target, so that it needs links to hosts of other availability zones that may. */
    readonly isCutOff: () => boolean;
    /** Longest time for which this host has lacked changes of the store that a peer has, in ms. */
    readonly lagMs: () => number;
    /** Age of the newest check of the store by another host, in ms; by default this host hears of none. */
    readonly storeCheckAgeMs?: () => number;
    /** Monotonic time in ms. */
    readonly now: () => number;
    readonly logger: Logger;
    readonly signal: AbortSignal;
}

const CHECK_INTERVAL_MS = 200;
/** At the first start of the fleet, hosts do not take each other's place as relays before all have registered. */
const FIRST_START_MS = 2_500;
/** A host that no relay has reported to for this time follows the store itself. */
const MAX_REPORT_AGE_MS = 1_500;
/** A relay that has heard of no check of the store for this time follows it itself, as the hosts that do may be lost. */
const MAX_CHECK_AGE_MS = 1_500;
/** A host that lacks changes which its relays have follows the store itself after this time. */
const MAX_LAG_MS = 1_500;

/**
 * Keeps the links of this host in line with the relays of the fleet, and decides whether it follows the store. Two relays
 * do so for the fleet; the others do while they hear of no check of the store, and any host does whose relays are silent,
 * so that neither the loss of relays nor a stale one delays a change.
 */
export class FleetLinks {
    readonly view: FleetView;
    private readonly topology: RelayTopology;
    private readonly startedAt: number;
    private addresses = new Map<string, string>();
    private hasRole = false;
    private relay = false;
    /** Monotonic time in ms of the newest report of a relay, or the one from which on reports are expected. */
    private reportedAt: number;
    private loggedRole: { readonly relay: boolean; readonly followsStore: boolean; } | undefined;

    constructor(private readonly opts: FleetLinksOptions) {
        const { hostId, availabilityZone, region, mesh, observer, now } = opts;
        this.startedAt = now();
        this.reportedAt = this.startedAt + (opts.isFirstStart ? FIRST_START_MS : 0);
        this.topology = new RelayTopology({
            hostId,
            availabilityZone,
            unlinkedMs: id => mesh.unlinkedMs(id),
        });
        this.view = new FleetView({
            availabilityZone,
            region,
            positionOf: id => this.topology.positionOf(id),
            observer,
            now,
        });
    }

    /** Whether this host is a relay of its availability zone. */
    get isRelay(): boolean {
        return this.relay;
    }

    /** Whether this host relies on the other one for all changes of the store. */
    usesSource(hostId: string): boolean {
        return this.sourceId === hostId;
    }

    /**
     * The host from which this one gets all changes of the store; `undefined` if it follows the store itself or has none.
     * The second relay of a zone uses the first one, so that changes pass between zones once.
     */
    private get sourceId(): string | undefined {
        if (!this.relay) {
            return this.view.usedRelayId;
        }
        if (this.opts.gate.isOpen) {
            return undefined;
        }
        const own = new Set(this.zonePeers);
        const { followers } = this.topology;
        const candidates = [
            ...followers.filter(id => own.has(id)),
            ...[...own].filter(id => this.topology.isFirstOfOwnZone(id)),
            ...followers,
        ];
        return candidates.find(id => this.view.reportOf(id) !== undefined);
    }

    /** Relays of the own zone that this host has a link to, or is itself. Without any, this host alone. */
    get ownRelays(): readonly string[] {
        const { hostId } = this.opts;
        const linked = new Set(this.zonePeers);
        const relays = this.topology.wantedLinks([]).hostIds.filter(id => linked.has(id));
        return this.relay || relays.length === 0 ? [hostId, ...relays] : relays;
    }

    /** Largest number of hosts that follow the store at once, which is the number of relays. */
    get followerCount(): number {
        return this.topology.relayCount;
    }

    /** Position of this host in the order in which relays follow the store. */
    get followerIndex(): number {
        return this.topology.followerIndexOf(this.opts.hostId);
    }

    /** Linked hosts that reach targets and accept requests of others. */
    get detourHosts(): readonly DetourHost[] {
        return this.view.detourHosts.flatMap(host => {
            const address = this.addresses.get(host.hostId);
            return address === undefined ? [] : [{ ...host, address }];
        });
    }

    /** Replaces the hosts of the fleet. */
    setHosts(hosts: readonly AnnouncedHost[]): void {
        this.addresses = new Map(hosts.map(({ hostId, peers }) => [hostId, peers]));
        this.topology.setHosts(hosts);
        this.update();
    }

    /** Adapts links and role at intervals until the signal aborts. */
    async run(): Promise<void> {
        const { signal, logger } = this.opts;
        await runPeriodically(() => this.update(), {
            intervalMs: () => CHECK_INTERVAL_MS,
            signal,
            onError: cause => logger.error({ event: "links-update-failed", fields: { reason: String(cause) } }),
        });
    }

    private update(): void {
        const { mesh, gate, knowsHosts, isCutOff, now } = this.opts;
        const users = this.zonePeers.filter(id => mesh.hasOpenedLink(id));
        if (knowsHosts() && !this.isStartingFleet) {
            const { hostIds, isRelay } = this.topology.wantedLinks(users, { needsOtherZones: isCutOff() });
            this.hasRole = true;
            this.relay = isRelay;
            this.view.setRole(isRelay);
            mesh.setPeers(hostIds.flatMap(hostId => {
                const address = this.addresses.get(hostId);
                // Relays list each other; a host that is none is not listed by its relays.
                return address === undefined ? [] : [{ hostId, address, isOnlyOpener: !isRelay }];
            }));
        }
        const { relayReport } = this.view;
        if (relayReport !== undefined) {
            this.reportedAt = Math.max(this.reportedAt, now() - relayReport.ageMs);
        }
        gate.set(this.shouldFollowStore);
        this.logRole();
    }

    private logRole(): void {
        const { gate, logger } = this.opts;
        const role = { relay: this.relay, followsStore: gate.isOpen };
        if (this.hasRole && !isDeepStrictEqual(role, this.loggedRole)) {
            this.loggedRole = role;
            logger.info({ event: "fleet-role-changed", fields: role });
        }
    }

    /** Monotonic time in ms at which the store recovered, as the source reports it; `undefined` if that is not known. */
    get reportedStoreRegainedAt(): number | undefined {
        const { sourceId } = this;
        const source = sourceId === undefined ? undefined : this.view.reportOf(sourceId);
        if (source === undefined || source.report.storeRegainedMs === null) {
            return undefined;
        }
        const { storeRegainedMs = Infinity } = source.report;
        return this.opts.now() - source.ageMs - storeRegainedMs;
    }

    /** Whether the list of hosts is likely to be incomplete, as the others are still registering. */
    private get isStartingFleet(): boolean {
        const { isFirstStart, now } = this.opts;
        return isFirstStart && now() - this.startedAt < FIRST_START_MS;
    }

    private get shouldFollowStore(): boolean {
        const { now, lagMs, hostId, storeCheckAgeMs = () => Infinity } = this.opts;
        const isUnreported = now() - this.reportedAt > MAX_REPORT_AGE_MS;
        const isNeeded = this.topology.followers.includes(hostId) || storeCheckAgeMs() > MAX_CHECK_AGE_MS;
        return this.hasRole && this.relay && isNeeded || !this.relay && isUnreported || lagMs() > MAX_LAG_MS;
    }

    private get zonePeers(): string[] {
        return this.opts.mesh.peers().filter(peer => peer.availabilityZone === this.opts.availabilityZone)
            .map(({ hostId }) => hostId);
    }
}
