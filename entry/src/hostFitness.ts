import type { HeartbeatPart, PeerIdentity, PeerMesh } from "@pistachioreel/peering";
import { type EventLoopUtilization, performance } from "node:perf_hooks";
import { z } from "zod";

interface HostFitnessOptions {
    readonly hostId: string;
    readonly mesh: PeerMesh;
    /** Monotonic time in ms. */
    readonly now: () => number;
    readonly isLeaving: () => boolean;
}

interface Report {
    readonly isFit: boolean;
    readonly at: number;
}

const payloadSchema = z.object({ fit: z.boolean() });
/** Share of the time that the event loop is busy; the gap keeps a host from alternating between the two states. */
const OVERLOADED_FROM = 0.9;
const OVERLOADED_UNTIL = 0.75;
const MEASURE_INTERVAL_MS = 1_000;
/** A start or one burst keeps the event loop busy for a second or two. */
const BUSY_MEASUREMENTS = 3;
/** Six heartbeats: a host that was heard before and is silent for this long is not named. */
const SILENT_AFTER_MS = 3_000;

/** Which hosts should not be named in lookups: hosts say in heartbeats whether they are leaving or overloaded. */
export class HostFitness implements HeartbeatPart {
    private readonly reports = new Map<string, Report>();
    private utilization: EventLoopUtilization = performance.eventLoopUtilization();
    private measuredAt = 0;
    private isOverloaded = false;
    private busyMeasurements = 0;
    private unfit: ReadonlySet<string> = new Set();
    private unfitAt = -Infinity;

    constructor(private readonly opts: HostFitnessOptions) {
        opts.mesh.addHeartbeatPart("fitness", this);
    }

    payload(): unknown {
        this.measure();
        return { fit: !this.opts.isLeaving() && !this.isOverloaded };
    }

    receive(from: PeerIdentity, payload: unknown): void {
        const checked = payloadSchema.safeParse(payload);
        if (!checked.success) {
            return;
        }
        const { fit: isFit } = checked.data;
        if (this.reports.get(from.hostId)?.isFit !== isFit) {
            this.unfitAt = -Infinity;
        }
        this.reports.set(from.hostId, { isFit, at: this.opts.now() });
    }

    /** Ids of hosts that are leaving, overloaded or silent; the same object until the set changes. */
    unfitHosts(): ReadonlySet<string> {
        const now = this.opts.now();
        const isSelfNamed = this.opts.isLeaving() && !this.unfit.has(this.opts.hostId);
        if (now - this.unfitAt < MEASURE_INTERVAL_MS && !isSelfNamed) {
            return this.unfit;
        }
        this.unfitAt = now;
        const reports = [...this.reports];
        const silent = reports.filter(([, { at }]) => now - at > SILENT_AFTER_MS);
        // A host that hears less than half of the others is probably cut off itself and cannot judge them.
        const isCutOff = silent.length * 2 > reports.length;
        const refusing = reports.filter(([, { isFit }]) => !isFit);
        const ids = (isCutOff ? refusing : [...refusing, ...silent]).map(([id]) => id);
        const next = new Set(this.opts.isLeaving() ? [...ids, this.opts.hostId] : ids);
        if (next.size !== this.unfit.size || [...next].some(id => !this.unfit.has(id))) {
            this.unfit = next;
        }
        return this.unfit;
    }

    private measure(): void {
        const now = this.opts.now();
        if (now - this.measuredAt < MEASURE_INTERVAL_MS) {
            return;
        }
        const { utilization } = performance.eventLoopUtilization(this.utilization);
        this.utilization = performance.eventLoopUtilization();
        this.measuredAt = now;
        const isBusy = utilization > (this.isOverloaded ? OVERLOADED_UNTIL : OVERLOADED_FROM);
        this.busyMeasurements = isBusy ? this.busyMeasurements + 1 : 0;
        this.isOverloaded = this.busyMeasurements >= BUSY_MEASUREMENTS;
    }
}
