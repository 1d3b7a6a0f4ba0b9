import type { PeerIdentity } from "@pistachioreel/peering";
import type { GatewayReport } from "./gatewayReport.js";

interface HostDirectoryOptions {
    readonly availabilityZone: string;
    readonly region: string;
    readonly callers: string;
    readonly isReady: () => boolean;
    readonly linkedPeers: () => readonly PeerIdentity[];
}

/** A ready host. */
interface ListedHost {
    readonly callers: string;
    readonly availabilityZone: string;
    readonly region: string;
}

/** A caller needs at least two hosts to fail over when one of them fails. */
const MIN_HOSTS = 2;
const MAX_HOSTS = 64;

/**
 * Finds the hosts that callers should use. Only ready hosts with a working link count; those in the caller's
 * availability zone are preferred, then those in its region.
 */
export class HostDirectory {
    private readonly reports = new Map<string, GatewayReport>();

    constructor(private readonly opts: HostDirectoryOptions) {}

    /** Keeps the newest report of a peer, and removes those of hosts without a link when a new one appears. */
    recordReport({ incarnation }: PeerIdentity, report: GatewayReport): void {
        if (!this.reports.has(incarnation)) {
            this.pruneReports();
        }
        this.reports.set(incarnation, report);
    }

    /** `address:port` of up to 64 hosts for a caller, in random order; empty if no host is ready. */
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
