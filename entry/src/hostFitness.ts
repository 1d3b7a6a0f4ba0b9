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

interface FitnessReport {
    readonly isFit: boolean;
    /** Monotonic time in ms. */
    readonly receivedAt: number;
}

const payloadSchema = z.object({ fit: z.boolean() });
/** Event loop utilization, 0 to 1; the gap between the thresholds keeps a host from flapping between the two states. */
const OVERLOAD_ENTER_UTILIZATION = 0.9;
const OVERLOAD_EXIT_UTILIZATION = 0.75;
const MEASURE_INTERVAL_MS = 1_000;
/** Startup or a single burst keeps the event loop busy for one or two seconds, which is not yet an overload. */
const BUSY_MEASUREMENTS_UNTIL_OVERLOADED = 3;
/** Six heartbeat intervals; a host that has sent heartbeats before and none for this long counts as unfit. */
const SILENCE_TIMEOUT_MS = 3_000;

/**
 * Tracks which hosts lookups should leave out. Hosts report in their heartbeats whether they are fit, that is neither
 * leaving nor overloaded.
 */
export class HostFitness implements HeartbeatPart {
    private readonly reports = new Map<string, FitnessReport>();
    private utilization: EventLoopUtilization = performance.eventLoopUtilization();
    private measuredAt = 0;
    private isOverloaded = false;
    private busyMeasurements = 0;
    private unfit: ReadonlySet<string> = new Set();
    private unfitComputedAt = -Infinity;

    constructor(private readonly opts: HostFitnessOptions) {
        opts.mesh.addHeartbeatPart("fitness", this);
    }

    /** Measures the utilization, at most once a second, and reports whether this host is fit. */
    payload(): unknown {
        this.measure();
        return { fit: !this.opts.isLeaving() && !this.isOverloaded };
    }

    /** Records a peer's report; a changed one is reflected in the next call of `unfitHosts`. */
    receive(from: PeerIdentity, payload: unknown): void {
        const checked = payloadSchema.safeParse(payload);
        if (!checked.success) {
            return;
        }
        const { fit: isFit } = checked.data;
        if (this.reports.get(from.hostId)?.isFit !== isFit) {
            this.unfitComputedAt = -Infinity;
        }
        this.reports.set(from.hostId, { isFit, receivedAt: this.opts.now() });
    }

    /** Ids of hosts that are leaving, overloaded or silent; the same object until the set changes. */
    unfitHosts(): ReadonlySet<string> {
        const now = this.opts.now();
        const isSelfMissing = this.opts.isLeaving() && !this.unfit.has(this.opts.hostId);
        if (now - this.unfitComputedAt < MEASURE_INTERVAL_MS && !isSelfMissing) {
            return this.unfit;
        }
        this.unfitComputedAt = now;
        const reports = [...this.reports];
        const silent = reports.filter(([, { receivedAt }]) => now - receivedAt > SILENCE_TIMEOUT_MS);
        // If more than half of the others are silent, this host is probably partitioned itself, so silence is ignored.
        const isIsolated = silent.length * 2 > reports.length;
        const reportedUnfit = reports.filter(([, { isFit }]) => !isFit);
        const ids = (isIsolated ? reportedUnfit : [...reportedUnfit, ...silent]).map(([id]) => id);
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
        const isBusy = utilization > (this.isOverloaded ? OVERLOAD_EXIT_UTILIZATION : OVERLOAD_ENTER_UTILIZATION);
        this.busyMeasurements = isBusy ? this.busyMeasurements + 1 : 0;
        this.isOverloaded = this.busyMeasurements >= BUSY_MEASUREMENTS_UNTIL_OVERLOADED;
    }
}
