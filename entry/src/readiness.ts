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

/** While the store is unavailable, time that a starting host waits for peers to connect and report their versions. */
const PEER_REPORT_WAIT_MS = 2_000;

/** Whether this host has current enough documents to serve requests. Once ready, it stays ready until it leaves. */
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
        const outdated = (["config", "keys", "plan", "roster"] as const).find(name => membership.isBehindPeers(name));
        if (outdated !== undefined) {
            return `a peer has a newer version of ${outdated}, which has not arrived`;
        }
        if (!hasStoreRead && now() - this.startedAt < PEER_REPORT_WAIT_MS) {
            return `${source}, waiting for peers to show their versions`;
        }
        return undefined;
    }
}
