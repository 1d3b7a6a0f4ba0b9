import type { PeerIdentity } from "@pistachioreel/peering";
import { FleetView } from "../src/fleetView.js";
import type { ListedHost } from "../src/listedHost.js";
import { RelayTopology } from "../src/relayTopology.js";
import { SummaryDeltas } from "../src/summaryDeltas.js";
import type { Usage } from "../src/usage.js";

interface SteppedFleetOptions {
    readonly zones: number;
    readonly hostsPerZone: number;
}

/** One host of a {@link SteppedFleet}, with the real modules. */
interface SteppedHost {
    readonly identity: PeerIdentity;
    readonly topology: RelayTopology;
    readonly view: FleetView;
    readonly deltas: SummaryDeltas;
    /** Hosts that this one wants links with. */
    wanted: ReadonlySet<string>;
    isRelay: boolean;
    isDown: boolean;
    /** Time since when a wanted host has had no link, in ms. */
    readonly unlinkedSince: Map<string, number>;
    readonly linked: Set<string>;
    /** Running requests of other hosts, by source. */
    readonly sources: Map<string, Readonly<Record<string, number>>>;
    /** Requests that other hosts have admitted for the workspace `w`. */
    othersAdmitted: number;
    running: number;
    admitted: number;
    sentBytes: number;
}

const STEP_MS = 100;
const REPORT_INTERVAL_MS = 300;
/** Time after which a link notices that the other side is silent. */
const SILENCE_MS = 1_500;

/** Hosts of a fleet that exchange reports over a network without delay, on a stepped clock. */
export class SteppedFleet {
    now = 0;
    readonly hosts = new Map<string, SteppedHost>();
    /** Whether two hosts can reach each other; symmetrical. */
    isReachable: (a: SteppedHost, b: SteppedHost) => boolean = () => true;
    private readonly silentSince = new Map<string, number>();
    private incarnations = 0;

    constructor({ zones, hostsPerZone }: SteppedFleetOptions) {
        const listed: ListedHost[] = [];
        for (let index = 0; index < zones * hostsPerZone; index++) {
            const zone = index % zones;
            // Three large hosts in each zone.
            const cores = index < 3 * zones ? 1.35 : 0.27;
            listed.push({ hostId: `host-${index}`, availabilityZone: `zone-${zone}`, cores });
        }
        for (const { hostId, availabilityZone } of listed) {
            this.hosts.set(hostId, this.createHost(hostId, availabilityZone, listed));
        }
    }

    get all(): readonly SteppedHost[] {
        return [...this.hosts.values()];
    }

    get up(): readonly SteppedHost[] {
        return this.all.filter(({ isDown }) => !isDown);
    }

    relaysOf(zone: string): SteppedHost[] {
        return this.up.filter(({ identity, isRelay }) => identity.availabilityZone === zone && isRelay);
    }

    /** Running requests of other hosts that a host knows. */
    knownRunning(host: SteppedHost): number {
        return [...host.sources.values()].reduce((sum, running) => sum + (running["target"] ?? 0), 0);
    }

    /** Starts a process anew: it forgets everything, its count of admitted requests included. */
    restart(host: SteppedHost): void {
        const listed = this.all.map(({ identity }, index) => ({
            hostId: identity.hostId,
            availabilityZone: identity.availabilityZone,
            cores: index < 3 * new Set(this.all.map(other => other.identity.availabilityZone)).size ? 1.35 : 0.27,
        }));
        for (const id of host.linked) {
            this.unlink(host, this.hosts.get(id)!);
        }
        const { hostId, availabilityZone } = host.identity;
        this.hosts.set(hostId, this.createHost(hostId, availabilityZone, listed));
    }

    /** Runs the fleet for a time. */
    run(ms: number): void {
        for (const endAt = this.now + ms; this.now < endAt; this.now += STEP_MS) {
            this.up.forEach(host => this.updateLinks(host));
            this.closeSilentLinks();
            if (this.now % REPORT_INTERVAL_MS === 0) {
                this.up.forEach(host => this.report(host));
            }
        }
    }

    private createHost(hostId: string, availabilityZone: string, listed: readonly ListedHost[]): SteppedHost {
        const unlinkedSince = new Map<string, number>();
        const topology = new RelayTopology({
            hostId,
            availabilityZone,
            unlinkedMs: id => this.now - (unlinkedSince.get(id) ?? this.now),
        });
        topology.setHosts(listed);
        const host: SteppedHost = {
            identity: { hostId, incarnation: `i${this.incarnations++}`, availabilityZone, region: "region" },
            topology,
            view: new FleetView({
                availabilityZone,
                region: "region",
                positionOf: id => topology.positionOf(id),
                observer: {
                    onRunning: (source, running) => {
                        if (running === undefined) {
                            host.sources.delete(source);
                        }
                        else {
                            host.sources.set(source, running);
                        }
                    },
                    onUsage: increases => host.othersAdmitted += increases.get("w")?.[1] ?? 0,
                },
                now: () => this.now,
            }),
            deltas: new SummaryDeltas(),
            wanted: new Set(),
            isRelay: false,
            isDown: false,
            unlinkedSince,
            linked: new Set(),
            sources: new Map(),
            othersAdmitted: 0,
            running: 1,
            admitted: 0,
            sentBytes: 0,
        };
        return host;
    }

    private updateLinks(host: SteppedHost): void {
        const users = [...host.linked].filter(id => {
            const { identity, wanted } = this.hosts.get(id)!;
            return identity.availabilityZone === host.identity.availabilityZone && wanted.has(host.identity.hostId);
        });
        const { hostIds, isRelay } = host.topology.wantedLinks(users);
        host.wanted = new Set(hostIds);
        host.isRelay = isRelay;
        host.view.setRole(isRelay);
        for (const id of hostIds) {
            const other = this.hosts.get(id)!;
            if (host.linked.has(id)) {
                continue;
            }
            if (!other.isDown && this.isReachable(host, other)) {
                this.link(host, other);
            }
            else if (!host.unlinkedSince.has(id)) {
                host.unlinkedSince.set(id, this.now);
            }
        }
        for (const id of [...host.linked].filter(linked => !host.wanted.has(linked))) {
            const other = this.hosts.get(id)!;
            if (!other.wanted.has(host.identity.hostId)) {
                this.unlink(host, other);
            }
        }
    }

    private link(a: SteppedHost, b: SteppedHost): void {
        for (const [host, other] of [[a, b], [b, a]] as const) {
            host.linked.add(other.identity.hostId);
            host.unlinkedSince.delete(other.identity.hostId);
            host.deltas.forget(other.identity.hostId);
        }
    }

    private unlink(a: SteppedHost, b: SteppedHost): void {
        for (const [host, other] of [[a, b], [b, a]] as const) {
            host.linked.delete(other.identity.hostId);
            host.view.forget(other.identity.hostId);
            if (host.wanted.has(other.identity.hostId)) {
                host.unlinkedSince.set(other.identity.hostId, this.now);
            }
        }
    }

    private closeSilentLinks(): void {
        for (const host of this.all) {
            for (const id of [...host.linked]) {
                const other = this.hosts.get(id)!;
                const key = `${host.identity.hostId} ${id}`;
                if (!host.isDown && !other.isDown && this.isReachable(host, other)) {
                    this.silentSince.delete(key);
                    continue;
                }
                const since = this.silentSince.get(key) ?? this.now;
                this.silentSince.set(key, since);
                if (this.now - since >= SILENCE_MS) {
                    this.silentSince.delete(key);
                    this.unlink(host, other);
                }
            }
        }
    }

    private report(host: SteppedHost): void {
        const { view, identity, deltas } = host;
        const running: Record<string, number> = host.running > 0 ? { target: host.running } : {};
        const admitted: Record<string, Usage> = host.admitted > 0 ? { w: [host.admitted, host.admitted] } : {};
        view.setOwn({ state: "ready", callers: identity.hostId, running, admitted });
        for (const id of host.linked) {
            const other = this.hosts.get(id)!;
            const isOwnZone = other.identity.availabilityZone === identity.availabilityZone;
            const summary = view.summaryFor(other.identity);
            const report = {
                state: "ready" as const,
                callers: identity.hostId,
                running: isOwnZone ? running : {},
                admitted: isOwnZone ? deltas.changedUsage(id, admitted) : {},
                revisions: {},
                warmed: [],
                ...(summary === undefined ? {} : { summary: deltas.reduce(id, summary) }),
            };
            host.sentBytes += JSON.stringify(report).length;
            if (!other.isDown && this.isReachable(host, other)) {
                other.view.record(identity, report);
            }
        }
    }
}
