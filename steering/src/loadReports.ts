import type { LoadReport } from "./loadReport.js";

interface RecordedReport extends LoadReport {
    /** Monotonic time in ms at which the report was requested. */
    readonly requestedAt: number;
    /** Running requests of this host and its peers: the smaller of the counts at the request and at the arrival. */
    readonly knownRunning: number;
    /** Running requests of this host at the arrival. */
    readonly ownRunning: number;
}

/** Reports older than this are ignored, except for the state `draining`. */
const MAX_AGE_MS = 2_000;
/** A target that stops reporting while it drains is used again after this time. */
const DRAINING_MAX_AGE_MS = 10_000;
const TRUST_GAIN = 0.1;
const MIN_TRUST = 0.5;
/** A report may miss requests that are in transit to the target or have just ended. */
const ALLOWED_MISSING_SHARE = 0.5;
const ALLOWED_MISSING_REQUESTS = 1;

/** Load reported by targets, with a trust score that drops when a report contradicts this host's observations. */
export class LoadReports {
    private readonly reports = new Map<string, RecordedReport>();
    private readonly trust = new Map<string, number>();

    /** @param now Monotonic time in ms. */
    constructor(private readonly now: () => number) {}

    /** Records a report, unless a newer one is known. Returns whether it was recorded. */
    record(targetId: string, report: RecordedReport): boolean {
        if (report.requestedAt <= (this.reports.get(targetId)?.requestedAt ?? -Infinity)) {
            return false;
        }
        this.reports.set(targetId, report);
        const plausible = report.running >= report.knownRunning * ALLOWED_MISSING_SHARE - ALLOWED_MISSING_REQUESTS;
        if (plausible) {
            this.trust.set(targetId, Math.min(1, this.trustOf(targetId) + TRUST_GAIN));
        }
        else {
            this.lowerTrust(targetId);
        }
        return true;
    }

    /** Lowers the trust if the target refused a request although its newest report shows it less than half full. */
    recordRefusal(targetId: string): void {
        const report = this.freshReportOf(targetId);
        if (report !== undefined && report.state !== "draining" && report.running < report.slots / 2) {
            this.lowerTrust(targetId);
        }
    }

    /**
     * Lowers the trust if a request completed although the newest report shows all slots in use by others.
     *
     * @param dispatchedAt Monotonic time in ms; requests dispatched before the report was requested are ignored.
     */
    recordCompletion(targetId: string, dispatchedAt: number): void {
        const report = this.freshReportOf(targetId);
        const others = report === undefined ? 0 : report.running - report.ownRunning;
        if (report !== undefined && dispatchedAt > report.requestedAt && others >= report.slots) {
            this.lowerTrust(targetId);
        }
    }

    /** Reported running requests that are not this host's own; 0 without a fresh and trusted report. */
    otherRunningOn(targetId: string): number {
        const report = this.freshReportOf(targetId);
        const isTrusted = this.trustOf(targetId) >= MIN_TRUST;
        return report === undefined || !isTrusted ? 0 : Math.max(0, report.running - report.ownRunning);
    }

    /** Newest reported state of a target; `undefined` once the report has expired. */
    stateOf(targetId: string): LoadReport["state"] | undefined {
        const report = this.reports.get(targetId);
        const maxAgeMs = report?.state === "draining" ? DRAINING_MAX_AGE_MS : MAX_AGE_MS;
        return report !== undefined && this.now() - report.requestedAt <= maxAgeMs ? report.state : undefined;
    }

    /** Trust in the reports of a target, from 0 to 1. */
    trustOf(targetId: string): number {
        return this.trust.get(targetId) ?? 1;
    }

    /** Fresh reports with their ages in ms. */
    entries(): [string, LoadReport, number][] {
        const now = this.now();
        return [...this.reports]
            .map(([id, report]): [string, LoadReport, number] => [id, report, now - report.requestedAt])
            .filter(([, , ageMs]) => ageMs <= MAX_AGE_MS);
    }

    private freshReportOf(targetId: string): RecordedReport | undefined {
        const report = this.reports.get(targetId);
        return report !== undefined && this.now() - report.requestedAt <= MAX_AGE_MS ? report : undefined;
    }

    private lowerTrust(targetId: string): void {
        this.trust.set(targetId, this.trustOf(targetId) / 2);
    }
}
