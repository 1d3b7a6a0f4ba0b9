import { type FleetReport, fleetReportSchema, type FleetView, SummaryDeltas } from "@pistachioreel/fleet";
import type { ReplicatedLimits } from "@pistachioreel/limits";
import type { Logger } from "@pistachioreel/logging";
import type { PeerIdentity, WebSocketMesh } from "@pistachioreel/peering";
import type { TargetLoads } from "@pistachioreel/placement";
import type { StorePosition } from "@pistachioreel/platform-store";
import { runPeriodically } from "@pistachioreel/runtime";
import { setTimeout as sleep } from "node:timers/promises";
import { z } from "zod";
import type { FeedReplication } from "./feedReplication.js";
import { reportInterval } from "./reportInterval.js";
import type { StatementExchange } from "./statementExchange.js";
import type { StoreCheck } from "./storeCheck.js";
import type { WarmObjectExchange } from "./warmObjectExchange.js";

interface FleetExchangeOptions {
    readonly mesh: WebSocketMesh;
    readonly state: () => FleetReport["state"];
    /** `address:port` of this host's listener for callers. */
    readonly callers: string;
    readonly availabilityZone: string;
    readonly detour: () => FleetReport["detour"];
    readonly view: FleetView;
    readonly loads: TargetLoads;
    readonly warmObjects: WarmObjectExchange;
    readonly statements: StatementExchange;
    readonly limits: ReplicatedLimits;
    readonly replication: FeedReplication;
    /** Monotonic time in ms at which the store last recovered; `undefined` while it is unreachable. */
    readonly storeRegainedAt: () => number | undefined;
    /** Whether this host follows the store, so that the relays of other zones learn of changes from it. */
    readonly followsStore: () => boolean;
    readonly storeCheck: StoreCheck;
    readonly logger: Logger;
    /** Monotonic time in ms. */
    readonly now: () => number;
    readonly signal: AbortSignal;
}

const HEARTBEAT_PART = "gateway";
const CHANGES_MESSAGE_TYPE = "feed-changes";
/** Changes that follow each other within this time are announced together. */
const CHANGES_DELAY_MS = 40;

/** Older checks of the store are of no use to other hosts. */
const MAX_REPORTED_CHECK_AGE_MS = 5_000;

const changesSchema = z.object({
    revisions: z.record(z.string(), z.number()),
    eras: z.record(z.string(), z.number()).optional(),
    changeCounts: z.record(z.string(), z.number()),
});

/** Exchanges reports with the linked hosts, at intervals, and announces changes of feeds to those of the own zone. */
export class FleetExchange {
    private readonly deltas = new SummaryDeltas();
    /** Whether the heartbeats that are being sent carry a report; other heartbeats carry none. */
    private isReporting = false;
    private isAnnouncing = false;

    constructor(private readonly opts: FleetExchangeOptions) {
        const { mesh } = opts;
        mesh.addHeartbeatPart(HEARTBEAT_PART, {
            payload: to => this.isReporting ? this.buildReport(to) : undefined,
            receive: (from, payload) => this.handleReport(from, payload),
        });
        mesh.registerHandler(CHANGES_MESSAGE_TYPE, (from, message) => {
            const { data } = changesSchema.safeParse(message);
            if (data !== undefined) {
                opts.replication.handleReport(from, positionsOf(data), data.changeCounts);
            }
        });
    }

    /** Sends reports at intervals until the signal aborts. */
    async run(): Promise<void> {
        const { signal, mesh, view, logger } = this.opts;
        await runPeriodically(() => this.sendReports(), {
            intervalMs: () => reportInterval({ links: mesh.peers().length, hosts: view.hostCount }),
            signal,
            onError: cause => logger.error({ event: "report-failed", fields: { reason: String(cause) } }),
        });
    }

    /** Sends a report to all linked hosts now. */
    sendReports(): void {
        this.report(() => this.opts.mesh.sendHeartbeats());
    }

    /** Sends a complete report to a host that has just been linked. */
    handleLinked(hostId: string): void {
        this.deltas.forget(hostId);
        this.opts.statements.handleLinked(hostId);
        this.report(() => this.opts.mesh.sendHeartbeat(hostId));
        void this.opts.warmObjects.handleLinked(hostId);
    }

    /** Forgets a host whose link has closed. */
    handleLost(hostId: string): void {
        const { view, warmObjects, statements, limits } = this.opts;
        view.forget(hostId);
        warmObjects.forget(hostId);
        statements.forget(hostId);
        limits.resize();
    }

    private report(send: () => void): void {
        const { view, state, callers, detour, loads, limits, warmObjects, statements } = this.opts;
        view.setOwn({
            state: state(),
            callers,
            detour: detour(),
            running: Object.fromEntries(loads.running),
            admitted: limits.usage(),
        });
        warmObjects.collect();
        statements.collect();
        this.isReporting = true;
        try {
            send();
        }
        finally {
            this.isReporting = false;
        }
    }

    /**
     * Announces changes of feeds to the linked hosts of the own zone, and to those of other zones if this host follows the
     * store, soon and once for changes that come together.
     */
    async announceChanges(): Promise<void> {
        if (this.isAnnouncing) {
            return;
        }
        this.isAnnouncing = true;
        const { mesh, availabilityZone, replication, followsStore, signal } = this.opts;
        await sleep(CHANGES_DELAY_MS, undefined, { signal }).catch(() => undefined);
        this.isAnnouncing = false;
        const { positions, changeCounts } = replication;
        mesh.peers().filter(peer => followsStore() || peer.availabilityZone === availabilityZone)
            .forEach(({ hostId }) =>
                mesh.send(hostId, { type: CHANGES_MESSAGE_TYPE, ...encodePositions(positions), changeCounts })
            );
    }

    private buildReport(to: PeerIdentity): FleetReport {
        const { state, callers, detour, availabilityZone, view, loads, warmObjects, limits, replication } = this.opts;
        const stated = this.opts.statements.takeStatementsFor(to);
        const isOwnZone = to.availabilityZone === availabilityZone;
        const summary = view.summaryFor(to);
        const limitStates = isOwnZone && this.deltas.isFirst(to.hostId) ? limits.states : {};
        return {
            state: state(),
            callers,
            running: isOwnZone ? Object.fromEntries(loads.running) : {},
            admitted: isOwnZone ? this.deltas.changedUsage(to.hostId, limits.usage()) : {},
            ...(Object.keys(limitStates).length > 0 ? { limitStates } : {}),
            ...encodePositions(replication.positions),
            warmed: warmObjects.takePairsFor(to),
            ...(stated.length > 0 ? { stated } : {}),
            ...(isOwnZone ? { changeCounts: replication.changeCounts } : {}),
            ...(summary === undefined ? {} : { summary: this.deltas.reduce(to.hostId, summary) }),
            detour: detour(),
            ...this.storeState,
        };
    }

    private get storeState(): Pick<FleetReport, "storeRegainedMs" | "storeCheckedMs"> {
        const { ownAgeMs } = this.opts.storeCheck;
        return { ...this.storeRecovery, ...(ownAgeMs < MAX_REPORTED_CHECK_AGE_MS ? { storeCheckedMs: ownAgeMs } : {}) };
    }

    private get storeRecovery(): Pick<FleetReport, "storeRegainedMs"> {
        const regainedAt = this.opts.storeRegainedAt();
        if (regainedAt === undefined) {
            return { storeRegainedMs: null };
        }
        return Number.isFinite(regainedAt) ? { storeRegainedMs: Math.max(0, this.opts.now() - regainedAt) } : {};
    }

    private handleReport(from: PeerIdentity, payload: unknown): void {
        const { logger, view, limits, warmObjects, statements, replication, storeCheck } = this.opts;
        const parsed = fleetReportSchema.safeParse(payload);
        if (!parsed.success) {
            logger.warn({ event: "peer-report-invalid", fields: { peer: from.hostId } });
            return;
        }
        const report = parsed.data;
        const hostsBefore = view.hostCount;
        view.record(from, report);
        if (view.hostCount !== hostsBefore) {
            limits.resize();
        }
        if (report.limitStates !== undefined) {
            limits.adoptStates(report.limitStates);
        }
        warmObjects.receive(from, report.warmed);
        statements.receive(from, report.stated ?? []);
        if (report.storeCheckedMs !== undefined) {
            storeCheck.recordPeerCheck(report.storeCheckedMs);
        }
        replication.handleReport(from, positionsOf(report), report.changeCounts ?? {});
    }
}

type EncodedPositions = Pick<FleetReport, "revisions" | "eras">;

function encodePositions(positions: Readonly<Record<string, StorePosition>>): Required<EncodedPositions> {
    const names = Object.keys(positions);
    return {
        revisions: Object.fromEntries(names.map(name => [name, positions[name]!.revision])),
        eras: Object.fromEntries(names.map(name => [name, positions[name]!.era])),
    };
}

function positionsOf({ revisions, eras = {} }: EncodedPositions): Record<string, StorePosition> {
    return Object.fromEntries(
        Object.entries(revisions).map(([name, revision]) => [name, { era: eras[name] ?? 0, revision }]),
    );
}
