import type { PeerIdentity, PeerMesh } from "@pistachioreel/peering";

interface PeerOutboxOptions {
    readonly mesh: PeerMesh;
    readonly availabilityZone: string;
    readonly isRelay: () => boolean;
    /** Most items of one report. */
    readonly maxItems: number;
}

/**
 * News of this host and of others that wait for the next report to each linked host. News of this host go to all linked
 * hosts; a relay passes those of its own zone on to all others, and those of other zones on to its own zone.
 */
export class PeerOutbox<Item> {
    private readonly pending = new Map<string, Item[]>();

    constructor(private readonly opts: PeerOutboxOptions) {}

    /** Adds news of this host. */
    add(items: readonly Item[]): void {
        this.enqueue(items, () => true);
    }

    /** Adds news for one host. */
    addFor(hostId: string, items: readonly Item[]): void {
        this.enqueue(items, peer => peer.hostId === hostId);
    }

    /** Passes on what was new in a report of another host, if this host is a relay. */
    passOn(from: PeerIdentity, items: readonly Item[]): void {
        const { isRelay, availabilityZone } = this.opts;
        if (!isRelay()) {
            return;
        }
        const isFromOwnZone = from.availabilityZone === availabilityZone;
        this.enqueue(
            items,
            peer => peer.hostId !== from.hostId && (isFromOwnZone || peer.availabilityZone === availabilityZone),
        );
    }

    /** Returns the news to send to the host now. */
    takeFor({ hostId }: PeerIdentity): Item[] {
        const items = this.pending.get(hostId) ?? [];
        this.pending.set(hostId, items.slice(this.opts.maxItems));
        return items.slice(0, this.opts.maxItems);
    }

    /** Drops the news for a host without a link. */
    forget(hostId: string): void {
        this.pending.delete(hostId);
    }

    private enqueue(items: readonly Item[], isReceiver: (peer: PeerIdentity) => boolean): void {
        if (items.length === 0) {
            return;
        }
        for (const peer of this.opts.mesh.peers().filter(isReceiver)) {
            const pending = this.pending.get(peer.hostId) ?? [];
            pending.push(...items);
            this.pending.set(peer.hostId, pending);
        }
    }
}
