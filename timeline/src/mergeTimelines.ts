import type { TimelineEvent } from "./timelineEvent.js";

/** Events of several processes in one order, with the estimated clock skew of their hosts. */
export interface MergedTimeline {
    readonly events: readonly TimelineEvent[];
    /**
     * By host, the smallest correction of its clock, in ms, that puts the causes on other hosts before their effects on
     * this one. Hosts that need no correction are left out.
     */
    readonly skewMs: ReadonlyMap<string, number>;
}

/**
 * Merges the events of several processes. Events are ordered by wall clock, corrected so that a cause on one host comes
 * before its effect on another; events of one process keep their order. An event that is in several timelines is kept
 * once.
 */
export function mergeTimelines(timelines: readonly (readonly TimelineEvent[])[]): MergedTimeline {
    const events = [...new Map(timelines.flat().map(event => [referenceOf(event), event])).values()];
    const skewMs = estimateSkew(events);
    const correctedTime = (event: TimelineEvent) => event.time + (skewMs.get(event.host) ?? 0);
    const compareEvents = (a: TimelineEvent, b: TimelineEvent) =>
        correctedTime(a) - correctedTime(b) || compareByCause(a, b);
    return { events: restoreProcessOrder([...events].sort(compareEvents)), skewMs };
}

/** Compares two events with the same corrected time: a cause comes before its effect. */
function compareByCause(a: TimelineEvent, b: TimelineEvent): number {
    return Number(a.cause === referenceOf(b)) - Number(b.cause === referenceOf(a));
}

function referenceOf({ host, incarnation, sequence }: TimelineEvent): string {
    return `${host}/${incarnation}/${sequence}`;
}

function estimateSkew(events: readonly TimelineEvent[]): Map<string, number> {
    const byReference = new Map(events.map(event => [referenceOf(event), event]));
    const skewMs = new Map<string, number>();
    for (const effect of events) {
        const cause = byReference.get(effect.cause ?? "");
        if (cause !== undefined && cause.host !== effect.host && cause.time > effect.time) {
            skewMs.set(effect.host, Math.max(skewMs.get(effect.host) ?? 0, cause.time - effect.time));
        }
    }
    return skewMs;
}

/**
 * Orders the events of each process by sequence number, within the positions that the process has in the sorted list. A
 * step of the wall clock can have put later events of a process before earlier ones.
 */
function restoreProcessOrder(sorted: readonly TimelineEvent[]): TimelineEvent[] {
    const eventsByProcess = new Map<string, TimelineEvent[]>();
    for (const event of sorted) {
        const process = `${event.host}/${event.incarnation}`;
        const events = eventsByProcess.get(process) ?? [];
        events.push(event);
        eventsByProcess.set(process, events);
    }
    eventsByProcess.forEach(events => events.sort((a, b) => a.sequence - b.sequence));
    return sorted.map(event => eventsByProcess.get(`${event.host}/${event.incarnation}`)?.shift() ?? event);
}
