import type { PeerIdentity, PeerMesh } from "@pistachioreel/peering";
import type { WarmObjects } from "@pistachioreel/placement";
import { z } from "zod";

interface WarmObjectExchangeOptions {
    readonly mesh: PeerMesh;
    readonly warm: WarmObjects;
    readonly availabilityZone: string;
    readonly isRelay: () => boolean;
}

type WarmPair = readonly [targetKey: string, object: string];

const WARM_MESSAGE_TYPE = "warm";
const WARM_REQUEST_TYPE = "warm-request";
/** Keeps a message well below the maximum size of a frame on a link. */
const MAX_PAIRS_PER_MESSAGE = 1_500;
const SNAPSHOT_TIMEOUT_MS = 2_000;

const warmSchema = z.object({ pairs: z.array(z.tuple([z.string(), z.string()])) });

/**
 * Tells the other hosts which objects are warm on which targets. New pairs of this host go to all linked hosts; a relay
 * passes those of its own zone on to all others, and those of other zones on to its own zone.
 */
export class WarmObjectExchange {
    private readonly pending = new Map<string, WarmPair[]>();
    private isRequesting = false;

    constructor(private readonly opts: WarmObjectExchangeOptions) {
        opts.mesh.registerHandler(WARM_REQUEST_TYPE, () => ({
            type: WARM_MESSAGE_TYPE,
            pairs: opts.warm.all().slice(-MAX_PAIRS_PER_MESSAGE),
        }));
    }

    /** Adds the pairs that this host has seen since the last call to those to be sent. */
    collect(): void {
        this.enqueue(this.opts.warm.takeNewPairs(), () => true);
    }

    /** Returns the pairs to send to the peer now. */
    takePairsFor({ hostId }: PeerIdentity): [string, string][] {
        const pairs = this.pending.get(hostId) ?? [];
        this.pending.set(hostId, pairs.slice(MAX_PAIRS_PER_MESSAGE));
        return pairs.slice(0, MAX_PAIRS_PER_MESSAGE).map(([key, object]) => [key, object]);
    }

    /** Records the pairs of a peer's report and passes new ones on. */
    receive(from: PeerIdentity, pairs: readonly WarmPair[]): void {
        const { warm, isRelay, availabilityZone } = this.opts;
        const added = pairs.filter(([key, object]) => warm.recordRemote(key, object));
        if (isRelay()) {
            const isFromOwnZone = from.availabilityZone === availabilityZone;
            this.enqueue(
                added,
                peer => peer.hostId !== from.hostId && (isFromOwnZone || peer.availabilityZone === availabilityZone),
            );
        }
    }

    /** Requests the pairs that a newly linked host knows, if this host knows none. */
    async handleLinked(hostId: string): Promise<void> {
        const { mesh, warm } = this.opts;
        if (this.isRequesting || warm.isKnown) {
            return;
        }
        this.isRequesting = true;
        const reply = await mesh.request(hostId, { type: WARM_REQUEST_TYPE }, SNAPSHOT_TIMEOUT_MS);
        this.isRequesting = false;
        const parsed = reply.map(message => warmSchema.safeParse(message));
        parsed.map(({ data }) => data?.pairs.forEach(([key, object]) => warm.recordRemote(key, object)));
    }

    /** Drops the pairs for a host without a link. */
    forget(hostId: string): void {
        this.pending.delete(hostId);
    }

    private enqueue(pairs: readonly WarmPair[], isReceiver: (peer: PeerIdentity) => boolean): void {
        if (pairs.length === 0) {
            return;
        }
        for (const peer of this.opts.mesh.peers().filter(isReceiver)) {
            const pending = this.pending.get(peer.hostId) ?? [];
            pending.push(...pairs);
            this.pending.set(peer.hostId, pending);
        }
    }
}
