import type { HeartbeatPart, PeerIdentity, PeerMesh } from "@pistachioreel/peering";
import { z } from "zod";
import { loadReportSchema } from "./loadReport.js";
import type { SlotUsage } from "./slotUsage.js";
import type { TargetCandidate } from "./targetCandidate.js";
import type { TargetStatistics } from "./targetStatistics.js";

interface LoadExchangeOptions {
    readonly mesh: PeerMesh;
    readonly availabilityZone: string;
    readonly slots: SlotUsage;
    readonly statistics: TargetStatistics;
    /** Finds a target of the configuration in force by its id. */
    readonly findTarget: (id: string) => TargetCandidate | undefined;
    /** Called after a peer's counts were recorded. */
    readonly onPeerCounts: () => void;
    /** Monotonic time in ms. */
    readonly now: () => number;
}

const COUNTS_MESSAGE_TYPE = "running-counts";
const HEARTBEAT_PART = "steering";
/** Counts are sent without waiting for the next heartbeat when one of them has changed by more than this. */
const MAX_UNSENT_CHANGE = 1;
/** Changes within this time are sent in one message. */
const BATCH_DELAY_MS = 2;

const countsSchema = z.record(z.string(), z.number().int().positive());
const payloadSchema = z.object({
    running: countsSchema,
    /** Load reports that the sender polled itself, with their ages in ms. */
    reports: z.array(z.tuple([z.string(), loadReportSchema, z.number().nonnegative()])),
});

/** Exchanges running requests and polled load reports of targets with peers. */
export class LoadExchange implements HeartbeatPart {
    private lastSentCounts = new Map<string, number>();
    private sendTimer: NodeJS.Timeout | undefined;
    private readonly polledTargets = new Set<string>();

    constructor(private readonly opts: LoadExchangeOptions) {
        opts.mesh.addHeartbeatPart(HEARTBEAT_PART, this);
        opts.mesh.registerHandler(COUNTS_MESSAGE_TYPE, (from, message) => this.handleCounts(from, message["running"]));
    }

    /** Sets the targets that this host polls; only their reports are sent to peers. */
    setPolledTargets(targetIds: Iterable<string>): void {
        this.polledTargets.clear();
        for (const id of targetIds) {
            this.polledTargets.add(id);
        }
    }

    /** Must be called when the number of running requests on a target has changed. */
    handleCountChange(targetId: string): void {
        const change = Math.abs(this.opts.slots.runningOn(targetId) - (this.lastSentCounts.get(targetId) ?? 0));
        if (change > MAX_UNSENT_CHANGE) {
            this.sendTimer ??= setTimeout(() => this.sendCounts(), BATCH_DELAY_MS);
        }
    }

    payload(): z.infer<typeof payloadSchema> {
        this.lastSentCounts = new Map(this.opts.slots.entries());
        const reports = this.opts.statistics.reports.entries().filter(([id]) => this.polledTargets.has(id))
            .map(([id, { slots, running, state }, ageMs]): z.infer<typeof payloadSchema>["reports"][number] => [
                id,
                { slots, running, state },
                Math.round(ageMs),
            ]);
        return { running: Object.fromEntries(this.lastSentCounts), reports };
    }

    receive(from: PeerIdentity, received: unknown, probedAt: number | undefined): void {
        const payload = payloadSchema.safeParse(received);
        if (!payload.success) {
            return;
        }
        const { running, reports } = payload.data;
        this.opts.statistics.peers.record(from.hostId, new Map(Object.entries(running)), this.opts.now());
        if (probedAt !== undefined) {
            for (const [id, report, ageMs] of reports) {
                const target = this.opts.findTarget(id);
                if (target !== undefined && !this.polledTargets.has(id)) {
                    // The peer that polled the target has already compared the report with its counts.
                    this.opts.statistics.recordReport(target, report, probedAt - ageMs, 0);
                }
            }
        }
        this.opts.onPeerCounts();
    }

    private sendCounts(): void {
        this.sendTimer = undefined;
        this.lastSentCounts = new Map(this.opts.slots.entries());
        const message = { type: COUNTS_MESSAGE_TYPE, running: Object.fromEntries(this.lastSentCounts) };
        for (const { hostId, availabilityZone } of this.opts.mesh.peers()) {
            if (availabilityZone === this.opts.availabilityZone) {
                this.opts.mesh.send(hostId, message);
            }
        }
    }

    private handleCounts(from: PeerIdentity, received: unknown): void {
        const running = countsSchema.safeParse(received);
        if (running.success) {
            this.opts.statistics.peers.record(from.hostId, new Map(Object.entries(running.data)), this.opts.now());
            this.opts.onPeerCounts();
        }
    }
}
