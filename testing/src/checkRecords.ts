import type { CallerRecord } from "./callerRecord.js";
import type { TargetRecord } from "./targetRecord.js";

/** Counts over the records of callers and targets. The last five are violations of guarantees and must be 0. */
export interface RecordCheck {
    readonly requests: number;
    readonly complete: number;
    readonly refusedNotRun: number;
    readonly unknown: number;
    /** Non-idempotent requests that ran more than once. */
    readonly duplicated: number;
    /** Complete responses to requests that no target finished. */
    readonly lost: number;
    /** Responses with status 200 that belong to another request, are malformed or are incomplete. */
    readonly wrongResponse: number;
    /** Requests that were reported as not run on every attempt, although a target ran them. */
    readonly falseNotRun: number;
    /** Requests that reached a target with an API key of a caller. */
    readonly leakedKeys: number;
}

/**
 * Compares the outcomes that callers recorded with the requests that targets recorded as run. Leaked keys are counted
 * only for the given `keys`.
 */
export function checkRecords(
    callers: readonly CallerRecord[],
    targets: readonly TargetRecord[],
    keys: readonly string[] = [],
): RecordCheck {
    const starts = targets.filter(record => record.event === "start");
    const runs = countBy(starts.map(record => record.marker));
    const finished = new Set(targets.filter(record => record.event === "end").map(record => record.marker));
    const nonIdempotent = new Set(callers.filter(record => !record.isIdempotent).map(record => record.marker));
    const outcomes = countBy(callers.map(record => record.outcome));
    const maybeRun = new Set(callers.filter(record => record.outcome !== "not-run").map(record => record.marker));
    const reportedNotRun = new Set(callers.filter(record => record.outcome === "not-run").map(record => record.marker));
    return {
        requests: callers.length,
        complete: outcomes.get("complete") ?? 0,
        refusedNotRun: outcomes.get("not-run") ?? 0,
        unknown: outcomes.get("unknown") ?? 0,
        duplicated: [...nonIdempotent].filter(marker => (runs.get(marker) ?? 0) > 1).length,
        lost: callers.filter(({ outcome, marker }) => outcome === "complete" && !finished.has(marker)).length,
        wrongResponse: outcomes.get("wrong") ?? 0,
        falseNotRun: [...reportedNotRun].filter(marker => !maybeRun.has(marker) && runs.has(marker)).length,
        leakedKeys: starts.filter(record => keys.some(key => JSON.stringify(record).includes(key))).length,
    };
}

function countBy(values: readonly string[]): Map<string, number> {
    const counts = new Map<string, number>();
    values.forEach(value => counts.set(value, (counts.get(value) ?? 0) + 1));
    return counts;
}
