import type { PeerIdentity, PeerMesh } from "@pistachioreel/peering";
import type { WarmObjects } from "@pistachioreel/placement";
import { z } from "zod";
import { PeerOutbox } from "./peerOutbox.js";

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

/** Tells the other hosts which objects are warm on which targets. */
export class WarmObjectExchange {
    private readonly outbox: PeerOutbox<WarmPair>;
    private isRequesting = false;

    constructor(private readonly opts: WarmObjectExchangeOptions) {
        this.outbox = new PeerOutbox({ ...opts, maxItems: MAX_PAIRS_PER_MESSAGE });
        opts.mesh.registerHandler(WARM_REQUEST_TYPE, () => ({
            type: WARM_MESSAGE_TYPE,
            pairs: opts.warm.all().slice(-MAX_PAIRS_PER_MESSAGE),
        }));
    }

    /** Adds the pairs that this host has seen since the last call to those to be sent. */
    collect(): void {
        this.outbox.add(this.opts.warm.takeNewPairs());
    }

    /** Returns the pairs to send to the peer now. */
    takePairsFor(peer: PeerIdentity): [string, string][] {
        return this.outbox.takeFor(peer).map(([key, object]) => [key, object]);
    }

    /** Records the pairs of a peer's report and passes new ones on. */
    receive(from: PeerIdentity, pairs: readonly WarmPair[]): void {
        const added = pairs.filter(([key, object]) => this.opts.warm.recordRemote(key, object));
        this.outbox.passOn(from, added);
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
        this.outbox.forget(hostId);
    }
}
