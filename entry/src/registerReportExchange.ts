import { DocumentRelay } from "@pistachioreel/documents";
import { hostReportSchema, type Membership } from "@pistachioreel/membership";
import type { PeerMesh } from "@pistachioreel/peering";
import type { FleetState } from "./fleetState.js";

interface ReportExchangeOptions {
    readonly mesh: PeerMesh;
    readonly state: FleetState;
    readonly membership: Membership;
}

/** Puts versions and evidence into heartbeats, and pulls and passes on documents over the links. */
export function registerReportExchange({ mesh, state, membership }: ReportExchangeOptions): void {
    const relay = new DocumentRelay({
        peers: mesh,
        held: name => state.documentOf(name),
        accept: document => state.accept(document),
    });
    mesh.addHeartbeatPart("report", {
        payload: () => membership.report(),
        receive(from, payload, askedAt) {
            const report = hostReportSchema.safeParse(payload);
            if (report.success) {
                membership.recordReport({ ...from, id: from.hostId }, report.data, askedAt);
                relay.offer(from.hostId, report.data.versions);
            }
        },
    });
    mesh.registerHandler("pull", (_, message) => relay.answerPull(message));
    state.onChange(() => mesh.sendHeartbeats());
}
