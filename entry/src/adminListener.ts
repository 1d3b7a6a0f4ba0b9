import { getRequestListener } from "@hono/node-server";
import { fleetDocumentSchema } from "@pistachioreel/documents";
import type { Membership } from "@pistachioreel/membership";
import type { WebSocketMesh } from "@pistachioreel/peering";
import type { HttpObjectStore } from "@pistachioreel/platform-store";
import type { Timeline } from "@pistachioreel/timeline";
import { Hono } from "hono";
import { createServer, type Server } from "node:http";
import type { EntryMetrics } from "./entryMetrics.js";
import type { FleetState } from "./fleetState.js";
import type { HostSteering } from "./hostSteering.js";

interface AdminListenerOptions {
    readonly hostId: string;
    readonly availabilityZone: string;
    readonly incarnation: string;
    readonly state: FleetState;
    readonly store: HttpObjectStore;
    readonly mesh: WebSocketMesh;
    readonly metrics: EntryMetrics;
    readonly steering: HostSteering;
    readonly timeline: Timeline;
    readonly membership: Membership;
    /** Why the host is not ready; `undefined` if it is. */
    readonly notReadyReason: () => string | undefined;
}

const { name: documentNameSchema } = fleetDocumentSchema.shape;

/** Creates the HTTP server for operators and monitoring: health, readiness, metrics, status, documents and the timeline. */
export function createAdminListener(opts: AdminListenerOptions): Server {
    const app = new Hono();
    app.get("/healthz", context => context.text("ok\n"));
    app.get("/readyz", context => {
        const reason = opts.notReadyReason();
        return reason === undefined ? context.text("ready\n") : context.text(`not ready: ${reason}\n`, 503);
    });
    app.get("/metrics", async context => {
        updateGauges(opts);
        return context.text(await opts.metrics.registry.metrics());
    });
    app.get("/v1/status", context => context.json(statusOf(opts)));
    app.get("/v1/documents/:name", context => {
        const name = documentNameSchema.safeParse(context.req.param("name"));
        const document = name.success ? opts.state.documentOf(name.data) : undefined;
        return document === undefined ? context.notFound() : context.json(document);
    });
    app.get("/v1/timeline", context => context.json(opts.timeline.snapshot()));
    const listener = getRequestListener(app.fetch);
    return createServer((request, response) => {
        listener(request, response).catch((cause: Error) => response.destroy(cause));
    });
}

function statusOf(opts: AdminListenerOptions) {
    const { hostId, availabilityZone, incarnation, state, store, mesh, steering, membership, notReadyReason } = opts;
    const reason = notReadyReason();
    const { evidenceAgeMs, storeEvidenceAgeMs } = membership;
    return {
        hostId,
        availabilityZone,
        incarnation,
        ready: reason === undefined,
        ...(reason === undefined ? {} : { notReadyBecause: reason }),
        documents: state.versions,
        freshness: {
            fresh: membership.isFresh(),
            /** Age in ms of the newest evidence from any source and from the store; absent if there is none. */
            ...(evidenceAgeMs === Infinity ? {} : { evidenceAgeMs }),
            ...(storeEvidenceAgeMs === Infinity ? {} : { storeEvidenceAgeMs: storeEvidenceAgeMs }),
        },
        roster: {
            version: state.versionOf("roster"),
            members: membership.currentRoster?.members ?? [],
            complete: membership.isRosterComplete,
            size: membership.size,
            ownsShare: membership.ownsShare(),
        },
        storeCalls: store.calls,
        shifts: steering.shiftProgress,
        peers: mesh.peers(),
        peerTraffic: mesh.traffic,
    };
}

/** Sets the gauges that are read on demand rather than updated by events. */
function updateGauges({ metrics, state, store }: AdminListenerOptions): void {
    for (const document of ["config", "keys", "plan", "roster", "blocks"] as const) {
        metrics.documentVersion.set({ document }, state.versionOf(document));
    }
    for (const [kind, calls] of Object.entries(store.calls)) {
        metrics.storeCalls.set({ kind }, calls);
    }
}
