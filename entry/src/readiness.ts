import type { Membership } from "@pistachioreel/membership";
import type { PeerMesh } from "@pistachioreel/peering";
import type { FleetState } from "./fleetState.js";

interface ReadinessOptions {
    readonly state: FleetState;
    readonly membership: Membership;
    readonly mesh: PeerMesh;
    /** Monotonic time in ms. */
    readonly now: () => number;
}

/** Without the store, a host that starts gives its peers this long to link and show their versions. */
const PEER_WAIT_MS = 2_000;

/** Whether a host has documents that it may serve from. Once ready, it stays ready until it leaves. */
export class Readiness {
    private readonly startedAt: number;
    private hasBeenReady = false;

    constructor(private readonly opts: ReadinessOptions) {
        this.startedAt = opts.now();
    }

    /** Why the host is not ready; `undefined` if it is. */
    get notReadyReason(): string | undefined {
        const reason = this.hasBeenReady ? undefined : this.findReason();
        this.hasBeenReady ||= reason === undefined;
        return reason;
    }

    private findReason(): string | undefined {
        const { state, membership, mesh, now } = this.opts;
        const hasStoreRead = membership.storeEvidenceAgeMs !== Infinity;
        const source = hasStoreRead ? "the store" : "the store does not answer";
        const peers = mesh.peers().length;
        if (state.configuration === undefined) {
            return hasStoreRead
                ? "the store holds no configuration"
                : `no configuration: ${source}, and none of ${peers} linked peers has passed one on`;
        }
        const older = (["config", "keys", "plan", "roster"] as const).find(name => membership.isBehindPeers(name));
        if (older !== undefined) {
            return `a peer has a newer version of ${older}, which has not arrived`;
        }
        if (!hasStoreRead && now() - this.startedAt < PEER_WAIT_MS) {
            return `${source}, waiting for peers to show their versions`;
        }
        return undefined;
    }
}
