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

const MEDIAN_INTERVAL_MS = 200;

/** Everything that this host knows about the load and health of targets. */
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

    /** Takes over a new inventory: targets that were not in the one before start cold, removed ones are forgotten. */
    applyInventory(targets: readonly TargetCandidate[]): void {
        const ids = new Set(targets.map(target => target.id));
        [...this.conditions.keys()].filter(id => !ids.has(id)).forEach(id => this.conditions.delete(id));
        const known = this.inventory;
        this.inventory = ids;
        targets.filter(target => known !== undefined && !known.has(target.id))
            .forEach(target => this.healthOf(target).startRamp());
    }

    /** Whether the target can take one more request, without regard to backoff. */
    hasFreeSlot(target: TargetCandidate): boolean {
        const own = this.opts.slots.runningOn(target.id);
        return this.reports.stateOf(target.id) !== "draining" && own < this.healthOf(target).limit
            && own + this.peers.runningOn(target.id) < target.slots;
    }

    isBackedOff(target: TargetCandidate): boolean {
        return this.healthOf(target).isBackedOff;
    }

    isIdle(target: TargetCandidate): boolean {
        return this.opts.slots.runningOn(target.id) === 0;
    }

    weightOf(target: TargetCandidate): number {
        return this.healthOf(target).weight;
    }

    /** Expected load with one more request; lower is better. */
    score(target: TargetCandidate): number {
        return (this.estimate(target) + 1) / (target.slots * this.weightOf(target));
    }

    /** Share of the targets' slots that are free, from 0 to 1; 1 without targets. */
    freeShare(targets: readonly TargetCandidate[]): number {
        const sum = (values: readonly number[]) => values.reduce((total, value) => total + value, 0);
        const usable = targets.filter(target => this.hasFreeSlot(target) && !this.isBackedOff(target));
        const free = sum(usable.map(target => Math.max(0, target.slots - this.estimate(target))));
        return targets.length === 0 ? 1 : free / sum(targets.map(target => target.slots));
    }

    /** Records a report that was asked for at the monotonic time `requestedAt` in ms. */
    recordReport(target: TargetCandidate, report: LoadReport, requestedAt: number, knownAtAsk: number): void {
        const before = this.reports.stateOf(target.id);
        const known = Math.min(knownAtAsk, this.knownRunningOn(target.id));
        const ownRunning = this.opts.slots.runningOn(target.id);
        const isNew = this.reports.record(target.id, { ...report, requestedAt, known, ownRunning });
        const returns = before === "draining" && report.state !== "draining";
        if (isNew && (returns || (report.state === "cold" && before !== "cold"))) {
            this.healthOf(target).startRamp();
        }
    }

    /** Running requests of this host and its peers. */
    knownRunningOn(targetId: string): number {
        return this.opts.slots.runningOn(targetId) + this.peers.runningOn(targetId);
    }

    recordOutcome(target: TargetCandidate, outcome: SlotOutcome): void {
        if (outcome.end === "refused") {
            this.reports.recordRefusal(target.id);
        }
        if (outcome.end === "complete") {
            this.reports.recordCompletion(target.id, this.opts.now() - outcome.latencyMs);
        }
        this.healthOf(target).record(outcome, target.slots, this.medianOf(target.service));
    }

    private estimate(target: TargetCandidate): number {
        const others = Math.max(this.peers.runningOn(target.id), this.reports.otherRunningOn(target.id));
        return this.opts.slots.runningOn(target.id) + others;
    }

    private healthOf({ id, service }: TargetCandidate): TargetCondition {
        let health = this.conditions.get(id);
        if (health === undefined) {
            health = new TargetCondition(service, this.opts.now, this.opts.random ?? Math.random);
            this.conditions.set(id, health);
        }
        return health;
    }

    /** Median of the mean latencies of a service's targets, in ms. */
    private medianOf(service: string): number | undefined {
        const now = this.opts.now();
        const kept = this.medians.get(service);
        if (kept !== undefined && now - kept.at < MEDIAN_INTERVAL_MS) {
            return kept.value;
        }
        const means = [...this.conditions.values()].filter(health => health.service === service)
            .flatMap(health => health.meanLatencyMs ?? []).sort((a, b) => a - b);
        const value = means[Math.floor((means.length - 1) / 2)];
        this.medians.set(service, { value, at: now });
        return value;
    }
}
