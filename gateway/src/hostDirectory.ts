import type { PeerIdentity } from "@pistachioreel/peering";
import type { GatewayReport } from "./gatewayReport.js";

interface HostDirectoryOptions {
    readonly availabilityZone: string;
    readonly region: string;
    readonly callers: string;
    readonly isReady: () => boolean;
    readonly linkedPeers: () => readonly PeerIdentity[];
}

interface ListedHost {
    readonly callers: string;
    readonly availabilityZone: string;
    readonly region: string;
}

/** A caller that knows only one host has nowhere to go when it fails. */
const MIN_HOSTS = 2;
const MAX_HOSTS = 64;

/** Names the hosts that callers should use: ready ones with a working link, near ones first. */
export class HostDirectory {
    private readonly reports = new Map<string, GatewayReport>();

    constructor(private readonly opts: HostDirectoryOptions) {}

    recordReport({ incarnation }: PeerIdentity, report: GatewayReport): void {
        if (!this.reports.has(incarnation)) {
            this.pruneReports();
        }
        this.reports.set(incarnation, report);
    }

    /** `address:port` of hosts for a caller. Empty if there is none. */
    hostsFor(region: string | undefined, availabilityZone: string | undefined): string[] {
        const ready = this.readyHosts();
        const inZone = ready.filter(host => host.availabilityZone === availabilityZone);
        const inRegion = ready.filter(host => host.region === region);
        const chosen = [inZone, inRegion, ready].find(hosts => hosts.length >= MIN_HOSTS) ??
            (inRegion.length > 0 ? inRegion : ready);
        return shuffled(chosen).slice(0, MAX_HOSTS).map(({ callers }) => callers);
    }

    private pruneReports(): void {
        const linked = new Set(this.opts.linkedPeers().map(({ incarnation }) => incarnation));
        [...this.reports.keys()].filter(incarnation => !linked.has(incarnation)).forEach(incarnation =>
            this.reports.delete(incarnation)
        );
    }

    private readyHosts(): ListedHost[] {
        const { linkedPeers, isReady, callers, availabilityZone, region } = this.opts;
        const peers = linkedPeers().flatMap(peer => {
            const report = this.reports.get(peer.incarnation);
            return report?.state === "ready" ? [{ ...peer, callers: report.callers }] : [];
        });
        return isReady() ? [...peers, { callers, availabilityZone, region }] : peers;
    }
}

function shuffled<T>(items: readonly T[]): T[] {
    return items.map(item => ({ item, position: Math.random() }))
        .sort((a, b) => a.position - b.position)
        .map(({ item }) => item);
}
