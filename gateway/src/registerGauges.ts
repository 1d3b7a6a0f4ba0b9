import type { FleetView } from "@pistachioreel/fleet";
import type { PeerMesh } from "@pistachioreel/peering";
import type { SharedMemory } from "@pistachioreel/runtime";
import type { GatewayMetrics } from "./gatewayMetrics.js";
import type { PlatformAccess } from "./platformAccess.js";
import type { PlatformState } from "./platformState.js";
import type { RequestListener } from "./requestListener.js";
import type { RequestPlacement } from "./requestPlacement.js";
import type { TargetReach } from "./targetReach.js";
import type { TargetState } from "./targetState.js";

/** Components whose state is served as gauges. */
interface GaugeSources {
    readonly listener: RequestListener;
    readonly targets: TargetState;
    readonly placement: RequestPlacement;
    readonly view: FleetView;
    readonly mesh: PeerMesh;
    readonly platform: PlatformAccess;
    readonly platformState: PlatformState;
    readonly reach: TargetReach;
    readonly bodyMemory: SharedMemory;
}

/** Multiple of the usual work time from which on a target counts as slow. */
const SLOW_PACE = 1.5;

/** Registers the gauges of a gateway host, which are read at each scrape. */
export function registerGauges(metrics: GatewayMetrics, sources: GaugeSources): void {
    const { listener, targets, placement, view, mesh, platform, platformState, reach, bodyMemory } = sources;
    metrics.addGauge("running_requests", "Requests that are running", () => listener.running);
    metrics.addGauge("request_body_bytes", "Memory of buffered request bodies", () => bodyMemory.used);
    metrics.addGauge("targets", "Targets that are known", () => targets.registry.size);
    metrics.addLabelledGauge(
        "waiting_requests",
        "Requests that wait at this host for room at a target, by service and rank",
        ["service", "rank"],
        () => placement.waitingCounts().map(({ service, rank, waiting }) => [{ service, rank }, waiting]),
    );
    metrics.addGauge(
        "targets_limited",
        "Targets that are taken to run fewer requests well than they have slots",
        () => [...targets.capacities.currentLimits().values()].filter(({ limit, slots }) => limit < slots).length,
    );
    metrics.addGauge(
        "targets_slow",
        "Targets that work at less than two thirds of the usual speed",
        () => [...targets.paces.currentPaces().values()].filter(({ factor }) => factor > SLOW_PACE).length,
    );
    metrics.addGauge(
        "invalid_paces",
        "Values of work times that were ignored since the start",
        () => targets.paces.invalidCount,
    );
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
