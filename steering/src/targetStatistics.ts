import type { LoadReport } from "./loadReport.js";
import { LoadReports } from "./loadReports.js";
import { PeerCounts } from "./peerCounts.js";
import type { SlotOutcome } from "./slotGrant.js";
import type { SlotUsage } from "./slotUsage.js";
import type { TargetCandidate } from "./targetCandidate.js";
import { TargetCondition } from "./targetCondition.js";

interface TargetStatisticsOptions {
    readonly slots: SlotUsage;
    /** Monotonic time in ms. */
    readonly now: () => number;
    readonly random?: () => number;
}

/** The median of a service is recomputed at most once in this time. */
const MEDIAN_CACHE_MS = 200;

/** Load and health of targets, from this host's attempts, its peers' counts and the targets' reports. */
export class TargetStatistics {
    readonly peers: PeerCounts;
    readonly reports: LoadReports;
    private readonly conditions = new Map<string, TargetCondition>();
    private readonly medians = new Map<string, { readonly value: number | undefined; readonly at: number; }>();
    private inventory: ReadonlySet<string> | undefined;

    constructor(private readonly opts: TargetStatisticsOptions) {
        this.peers = new PeerCounts(opts.now);
        this.reports = new LoadReports(opts.now);
    }

    /**
     * Applies a new inventory: targets that were not in the previous one start cold, and the observed condition of
     * removed targets is dropped.
     */
    applyInventory(targets: readonly TargetCandidate[]): void {
        const ids = new Set(targets.map(target => target.id));
        [...this.conditions.keys()].filter(id => !ids.has(id)).forEach(id => this.conditions.delete(id));
        const previous = this.inventory;
        this.inventory = ids;
        targets.filter(target => previous !== undefined && !previous.has(target.id))
            .forEach(target => this.conditionOf(target).startRamp());
    }

    /** Whether the target can take one more request, regardless of backoff. */
    hasFreeSlot(target: TargetCandidate): boolean {
        const own = this.opts.slots.runningOn(target.id);
        return this.reports.stateOf(target.id) !== "draining" && own < this.conditionOf(target).concurrencyLimit
            && own + this.peers.runningOn(target.id) < target.slots;
    }

    isBackedOff(target: TargetCandidate): boolean {
        return this.conditionOf(target).isBackedOff;
    }

    /** Whether this host has no request running on the target. */
    isIdle(target: TargetCandidate): boolean {
        return this.opts.slots.runningOn(target.id) === 0;
    }

    weightOf(target: TargetCandidate): number {
        return this.conditionOf(target).weight;
    }

    /** Estimated load per weighted slot with one more request; lower is better. */
    score(target: TargetCandidate): number {
        return (this.estimateRunning(target) + 1) / (target.slots * this.weightOf(target));
    }

    /** Share of the targets' slots that are free, from 0 to 1; 1 without targets. */
    freeShare(targets: readonly TargetCandidate[]): number {
        const sum = (values: readonly number[]) => values.reduce((total, value) => total + value, 0);
        const usable = targets.filter(target => this.hasFreeSlot(target) && !this.isBackedOff(target));
        const free = sum(usable.map(target => Math.max(0, target.slots - this.estimateRunning(target))));
        return targets.length === 0 ? 1 : free / sum(targets.map(target => target.slots));
    }

    /**
     * Records a load report.
     *
     * @param requestedAt Monotonic time in ms at which the report was requested.
     * @param knownAtRequest Known running requests on the target at that time.
     */
    recordReport(target: TargetCandidate, report: LoadReport, requestedAt: number, knownAtRequest: number): void {
        const previousState = this.reports.stateOf(target.id);
        const knownRunning = Math.min(knownAtRequest, this.knownRunningOn(target.id));
        const ownRunning = this.opts.slots.runningOn(target.id);
        const isNew = this.reports.record(target.id, { ...report, requestedAt, knownRunning, ownRunning });
        const hasResumed = previousState === "draining" && report.state !== "draining";
        if (isNew && (hasResumed || (report.state === "cold" && previousState !== "cold"))) {
            this.conditionOf(target).startRamp();
        }
    }

    /** Known running requests of this host and its peers. */
    knownRunningOn(targetId: string): number {
        return this.opts.slots.runningOn(targetId) + this.peers.runningOn(targetId);
    }

    /** Records the outcome of an attempt of this host. */
    recordOutcome(target: TargetCandidate, outcome: SlotOutcome): void {
        if (outcome.end === "refused") {
            this.reports.recordRefusal(target.id);
        }
        if (outcome.end === "complete") {
            this.reports.recordCompletion(target.id, this.opts.now() - outcome.latencyMs);
        }
        this.conditionOf(target).record(outcome, target.slots, this.medianOf(target.service));
    }

    private estimateRunning(target: TargetCandidate): number {
        const others = Math.max(this.peers.runningOn(target.id), this.reports.otherRunningOn(target.id));
        return this.opts.slots.runningOn(target.id) + others;
    }

    private conditionOf({ id, service }: TargetCandidate): TargetCondition {
        let condition = this.conditions.get(id);
        if (condition === undefined) {
            condition = new TargetCondition(service, this.opts.now, this.opts.random ?? Math.random);
            this.conditions.set(id, condition);
        }
        return condition;
    }

    /** Median of the mean latencies of a service's targets, in ms. */
    private medianOf(service: string): number | undefined {
        const now = this.opts.now();
        const cached = this.medians.get(service);
        if (cached !== undefined && now - cached.at < MEDIAN_CACHE_MS) {
            return cached.value;
        }
        const means = [...this.conditions.values()].filter(condition => condition.service === service)
            .flatMap(condition => condition.meanLatencyMs ?? []).sort((a, b) => a - b);
        const value = means[Math.floor((means.length - 1) / 2)];
        this.medians.set(service, { value, at: now });
        return value;
    }
}
