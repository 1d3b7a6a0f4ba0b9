import { DocumentReplicator } from "@pistachioreel/documents";
import { hostReportSchema, type Membership } from "@pistachioreel/membership";
import type { PeerMesh } from "@pistachioreel/peering";
import type { FleetState } from "./fleetState.js";

interface ReportExchangeOptions {
    readonly mesh: PeerMesh;
    readonly state: FleetState;
    readonly membership: Membership;
}

/** Adds document versions and freshness evidence to heartbeats and lets peers pull newer documents from each other. */
export function registerReportExchange({ mesh, state, membership }: ReportExchangeOptions): void {
    const replicator = new DocumentReplicator({
        peers: mesh,
        documentOf: name => state.documentOf(name),
        applyIfNewer: document => state.applyIfNewer(document),
    });
    mesh.addHeartbeatPart("report", {
        payload: () => membership.report(),
        receive(from, payload, probedAt) {
            const report = hostReportSchema.safeParse(payload);
            if (report.success) {
                membership.recordReport({ ...from, id: from.hostId }, report.data, probedAt);
                replicator.handleVersions(from.hostId, report.data.versions);
            }
        },
    });
    mesh.registerHandler("pull", (_, message) => replicator.handlePull(message));
    state.onChange(() => mesh.sendHeartbeats());
}
