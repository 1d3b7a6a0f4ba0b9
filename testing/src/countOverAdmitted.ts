import type { CallerRecord } from "./callerRecord.js";
import type { TargetRecord } from "./targetRecord.js";

/** Parameters of a token bucket. */
interface RateLimit {
    /** Requests per second. */
    readonly rate: number;
    /** Requests that the bucket holds when it is full. */
    readonly burst: number;
}

/** Rounding error of a time span: both its ends are read from clocks in whole milliseconds. */
const CLOCK_ROUNDING_MS = 2;
const MS_PER_SECOND = 1_000;

/**
 * Returns the largest excess of requests over `burst + rate * t` in any window of t seconds, rounded up. A request is
 * admitted between the time when the caller sends it and its first arrival at a target, so a window counts it if it
 * contains both times. The only tolerance is that for the rounding of the clocks.
 */
export function countOverAdmitted(
    callers: readonly CallerRecord[],
    targets: readonly TargetRecord[],
    { rate, burst }: RateLimit,
): number {
    const sentAt = new Map(callers.map(record => [record.marker, record.sentAt]));
    const arrivals = new Map<string, number>();
    for (const { marker, event, time } of targets) {
        if (event === "start" && sentAt.has(marker) && !arrivals.has(marker)) {
            arrivals.set(marker, time);
        }
    }
    const spans = [...arrivals].map(([marker, end]) => ({ start: sentAt.get(marker) ?? 0, end }));
    spans.sort((first, second) => first.end - second.end);
    let maxExcess = 0;
    for (const { start } of spans) {
        let count = 0;
        for (const span of spans) {
            if (span.start >= start) {
                count++;
                const allowed = burst + rate * (span.end - start + CLOCK_ROUNDING_MS) / MS_PER_SECOND;
                maxExcess = Math.max(maxExcess, count - allowed);
            }
        }
    }
    return Math.ceil(Math.max(0, maxExcess));
}
