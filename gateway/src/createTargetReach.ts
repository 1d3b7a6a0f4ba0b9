import type { Logger } from "@pistachioreel/logging";
import type { PeerMesh } from "@pistachioreel/peering";
import type { Dialect } from "./dialect.js";
import { PeerReach } from "./peerReach.js";
import type { TargetConnectionPools } from "./targetConnectionPools.js";
import { TargetReach } from "./targetReach.js";
import type { TargetState } from "./targetState.js";

interface TargetReachOptions {
    readonly targets: Pick<TargetState, "registry" | "health" | "statements">;
    readonly connectionPools: TargetConnectionPools;
    readonly dialect: Pick<Dialect, "pingRequest">;
    readonly mesh: PeerMesh;
    readonly availabilityZone: string;
    /** Called when this host has lost or regained the way to all targets. */
    readonly onChange: () => void;
    readonly logger: Logger;
    /** Monotonic time in ms. */
    readonly now: () => number;
    readonly signal: AbortSignal;
}

/** Creates the check of whether this host reaches targets, which asks the linked hosts and answers them. */
export function createTargetReach(
    { targets: { registry, health, statements }, connectionPools, dialect, mesh, onChange, ...opts }:
        TargetReachOptions,
): TargetReach {
    const reach: TargetReach = new TargetReach({
        ...opts,
        targets: () => registry.all.filter(target => statements.accepts(target, 0)),
        probe: (target, signal) => connectionPools.poolOf(target).ping(dialect.pingRequest(), signal),
        askPeers: () => peerReach.ask(),
        askPeersAbout: target => peerReach.reachesElsewhere(target),
        onChange: isCutOff => {
            if (!isCutOff) {
                health.forgetUnreachable();
            }
            onChange();
        },
    });
    const peerReach = new PeerReach({
        mesh,
        tryTargets: () => reach.tryForPeer(),
        tryTarget: key => reach.tryTargetForPeer(key),
    });
    return reach;
}
