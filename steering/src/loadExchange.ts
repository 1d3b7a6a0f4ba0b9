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
    /** The target of an id in the configuration in force. */
    readonly findTarget: (id: string) => TargetCandidate | undefined;
    /** Called when a peer's counts have arrived. */
    readonly onPeerCounts: () => void;
    /** Monotonic time in ms. */
    readonly now: () => number;
}

const COUNTS = "running-counts";
const PART = "steering";
/** Counts are sent at once when one of them has changed by more than this. */
const MAX_UNSENT_CHANGE = 1;
/** Changes of this time in ms go into one message. */
const COLLECT_MS = 2;

const countsSchema = z.record(z.string(), z.number().int().positive());
const payloadSchema = z.object({
    running: countsSchema,
    /** Reports that the sender asked for itself, with their ages in ms. */
    reports: z.array(z.tuple([z.string(), loadReportSchema, z.number().nonnegative()])),
});

/** Tells peers how many requests this host has running and what it was told by targets, and takes the same from them. */
export class LoadExchange implements HeartbeatPart {
    private sent = new Map<string, number>();
    private timer: NodeJS.Timeout | undefined;
    private readonly asked = new Set<string>();

    constructor(private readonly opts: LoadExchangeOptions) {
        opts.mesh.addHeartbeatPart(PART, this);
        opts.mesh.registerHandler(COUNTS, (from, message) => this.takeCounts(from, message["running"]));
    }

    /** Marks the targets whose reports this host passes on. */
    setPolledTargets(targetIds: Iterable<string>): void {
        this.asked.clear();
        for (const id of targetIds) {
            this.asked.add(id);
        }
    }

    /** To be called when the count of a target has changed. */
    handleCountChange(targetId: string): void {
        const change = Math.abs(this.opts.slots.runningOn(targetId) - (this.sent.get(targetId) ?? 0));
        if (change > MAX_UNSENT_CHANGE) {
            this.timer ??= setTimeout(() => this.sendCounts(), COLLECT_MS);
        }
    }

    payload(): z.infer<typeof payloadSchema> {
        this.sent = new Map(this.opts.slots.entries());
        const reports = this.opts.statistics.reports.entries().filter(([id]) => this.asked.has(id))
            .map(([id, { slots, running, state }, ageMs]): z.infer<typeof payloadSchema>["reports"][number] => [
                id,
                { slots, running, state },
                Math.round(ageMs),
            ]);
        return { running: Object.fromEntries(this.sent), reports };
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
                if (target !== undefined && !this.asked.has(id)) {
                    // The peer has compared the report with its own counts when it asked for it.
                    this.opts.statistics.recordReport(target, report, probedAt - ageMs, 0);
                }
            }
        }
        this.opts.onPeerCounts();
    }

    private sendCounts(): void {
        this.timer = undefined;
        this.sent = new Map(this.opts.slots.entries());
        const message = { type: COUNTS, running: Object.fromEntries(this.sent) };
        for (const { hostId, availabilityZone } of this.opts.mesh.peers()) {
            if (availabilityZone === this.opts.availabilityZone) {
                this.opts.mesh.send(hostId, message);
            }
        }
    }

    private takeCounts(from: PeerIdentity, received: unknown): void {
        const running = countsSchema.safeParse(received);
        if (running.success) {
            this.opts.statistics.peers.record(from.hostId, new Map(Object.entries(running.data)), this.opts.now());
            this.opts.onPeerCounts();
        }
    }
}
