import type { FleetReport } from "./fleetReport.js";
import type { Usage } from "./usage.js";

type Summary = NonNullable<FleetReport["summary"]>;

interface SentState {
    readonly own: Map<string, Usage>;
    readonly summed: Map<string, Usage>;
    /** Encoded ready hosts by availability zone. */
    readonly readyHosts: Map<string, string>;
}

/** Leaves out of each report what a link has already carried. The first report on a link is complete. */
export class SummaryDeltas {
    private readonly sentByPeer = new Map<string, SentState>();

    /** Makes the next report to the peer complete, because its link has been opened anew or is lost. */
    forget(hostId: string): void {
        this.sentByPeer.delete(hostId);
    }

    /** Whether the next report to the peer is the first on its link. */
    isFirst(hostId: string): boolean {
        return !this.sentByPeer.has(hostId);
    }

    /** The sender's own usage that has changed. */
    changedUsage(hostId: string, usage: Readonly<Record<string, Usage>>): Record<string, Usage> {
        return changed(this.sentTo(hostId).own, usage);
    }

    /** The summary without what has not changed. */
    reduce(hostId: string, summary: Summary): Summary {
        const { summed, readyHosts } = this.sentTo(hostId);
        const changedZones = Object.entries(summary.readyHosts).filter(([zone, ready]) => {
            const encoded = JSON.stringify(ready);
            const isChanged = readyHosts.get(zone) !== encoded;
            readyHosts.set(zone, encoded);
            return isChanged;
        });
        return {
            ...summary,
            admitted: changed(summed, summary.admitted),
            readyHosts: Object.fromEntries(changedZones),
        };
    }

    private sentTo(hostId: string): SentState {
        let sent = this.sentByPeer.get(hostId);
        if (sent === undefined) {
            sent = { own: new Map(), summed: new Map(), readyHosts: new Map() };
            this.sentByPeer.set(hostId, sent);
        }
        return sent;
    }
}

function changed(sent: Map<string, Usage>, usage: Readonly<Record<string, Usage>>): Record<string, Usage> {
    const changes: Record<string, Usage> = {};
    for (const [workspace, numbers] of Object.entries(usage)) {
        if (sent.get(workspace)?.[0] !== numbers[0]) {
            sent.set(workspace, numbers);
            changes[workspace] = numbers;
        }
    }
    return changes;
}
