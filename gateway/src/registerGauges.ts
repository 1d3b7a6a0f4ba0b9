import type { FleetView } from "@pistachioreel/fleet";
import type { PeerMesh } from "@pistachioreel/peering";
import type { TargetRegistry } from "@pistachioreel/placement";
import type { SharedMemory } from "@pistachioreel/runtime";
import type { GatewayMetrics } from "./gatewayMetrics.js";
import type { PlatformAccess } from "./platformAccess.js";
import type { PlatformState } from "./platformState.js";
import type { RequestListener } from "./requestListener.js";
import type { TargetReach } from "./targetReach.js";

/** Components whose state is served as gauges. */
interface GaugeSources {
    readonly listener: RequestListener;
    readonly registry: TargetRegistry;
    readonly view: FleetView;
    readonly mesh: PeerMesh;
    readonly platform: PlatformAccess;
    readonly platformState: PlatformState;
    readonly reach: TargetReach;
    readonly bodyMemory: SharedMemory;
}

/** Registers the gauges of a gateway host, which are read at each scrape. */
export function registerGauges(metrics: GatewayMetrics, sources: GaugeSources): void {
    const { listener, registry, view, mesh, platform, platformState, reach, bodyMemory } = sources;
    metrics.addGauge("running_requests", "Requests that are running", () => listener.running);
    metrics.addGauge("request_body_bytes", "Memory of buffered request bodies", () => bodyMemory.used);
    metrics.addGauge("targets", "Targets that are known", () => registry.size);
    metrics.addGauge("known_hosts", "Hosts whose requests are known, this one included", () => view.hostCount);
    metrics.addGauge("linked_hosts", "Other hosts with a working link", () => mesh.peers().length);
    metrics.addGauge("store_calls", "Calls to the store since the start", () => platform.storeCalls);
    metrics.addGauge(
        "store_silence_ms",
        "Longest time for which the store has sent nothing about one kind of objects",
        () => platformState.storeSilenceMs,
    );
    metrics.addGauge(
        "rejected_objects",
        "Objects of the store that could not be used",
        () => platform.rejectedObjects,
    );
    metrics.addGauge(
        "desired_state_version",
        "Version in force",
        () => platformState.stateInForce?.version ?? 0,
    );
    metrics.addGauge(
        "targets_unreachable",
        "1 if this host has lost the way to all targets",
        () => Number(reach.isCutOff),
    );
}
