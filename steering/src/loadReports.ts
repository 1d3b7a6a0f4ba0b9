import type { LoadReport } from "./loadReport.js";

interface KnownReport extends LoadReport {
    /** Monotonic time in ms at which the report was asked for. */
    readonly requestedAt: number;
    /** Running requests of this host and its peers when the report was asked for, and when it arrived. */
    readonly known: number;
    readonly ownRunning: number;
}

/** A report older than this, in ms, counts for nothing. */
const MAX_AGE_MS = 2_000;
/** A target that stops answering while it drains is tried again after this time in ms. */
const DRAINING_MAX_AGE_MS = 10_000;
const TRUST_GAIN = 0.1;
const MIN_TRUST = 0.5;
/** A report may miss requests that are on their way to the target or have just ended. */
const ALLOWED_MISSING_SHARE = 0.5;
const ALLOWED_MISSING = 1;

/** Reported load of targets, with a measure of how far the reports agree with what this host observes. */
export class LoadReports {
    private readonly reports = new Map<string, KnownReport>();
    private readonly trust = new Map<string, number>();

    /** @param now Monotonic time in ms. */
    constructor(private readonly now: () => number) {}

    /** Takes a report unless a newer one is known; tells whether it did. */
    record(targetId: string, report: KnownReport): boolean {
        if (report.requestedAt <= (this.reports.get(targetId)?.requestedAt ?? -Infinity)) {
            return false;
        }
        this.reports.set(targetId, report);
        const plausible = report.running >= report.known * ALLOWED_MISSING_SHARE - ALLOWED_MISSING;
        if (plausible) {
            this.trust.set(targetId, Math.min(1, this.trustOf(targetId) + TRUST_GAIN));
        }
        else {
            this.distrust(targetId);
        }
        return true;
    }

    /** Compares the newest report with a shed by the target. */
    recordRefusal(targetId: string): void {
        const report = this.fresh(targetId);
        if (report !== undefined && report.state !== "draining" && report.running < report.slots / 2) {
            this.distrust(targetId);
        }
    }

    /** Compares the newest report with a request that was dispatched after it and was complete. */
    recordCompletion(targetId: string, dispatchedAt: number): void {
        const report = this.fresh(targetId);
        const others = report === undefined ? 0 : report.running - report.ownRunning;
        if (report !== undefined && dispatchedAt > report.requestedAt && others >= report.slots) {
            this.distrust(targetId);
        }
    }

    /** Running requests that are not this host's own; 0 without a report that is fresh and trusted. */
    otherRunningOn(targetId: string): number {
        const report = this.fresh(targetId);
        const isTrusted = this.trustOf(targetId) >= MIN_TRUST;
        return report === undefined || !isTrusted ? 0 : Math.max(0, report.running - report.ownRunning);
    }

    stateOf(targetId: string): LoadReport["state"] | undefined {
        const report = this.reports.get(targetId);
        const maxAgeMs = report?.state === "draining" ? DRAINING_MAX_AGE_MS : MAX_AGE_MS;
        return report !== undefined && this.now() - report.requestedAt <= maxAgeMs ? report.state : undefined;
    }

    trustOf(targetId: string): number {
        return this.trust.get(targetId) ?? 1;
    }

    /** Fresh reports with their ages in ms. */
    entries(): [string, LoadReport, number][] {
        const now = this.now();
        return [...this.reports].map((
            [id, report],
        ): [string, LoadReport, number] => [id, report, now - report.requestedAt])
            .filter(([, , ageMs]) => ageMs <= MAX_AGE_MS);
    }

    private fresh(targetId: string): KnownReport | undefined {
        const report = this.reports.get(targetId);
        return report !== undefined && this.now() - report.requestedAt <= MAX_AGE_MS ? report : undefined;
    }

    private distrust(targetId: string): void {
        this.trust.set(targetId, this.trustOf(targetId) / 2);
    }
}
