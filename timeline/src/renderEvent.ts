import type { TimelineEvent } from "./timelineEvent.js";

/** One line of text for an event. */
export function renderEvent(event: TimelineEvent): string {
    const { time, host, event: name, request, workspace, cause, fields = {} } = event;
    const allFields = { request, workspace, cause, ...fields };
    const pairs = Object.entries(allFields).filter(([, value]) => value !== undefined && value !== "");
    const text = pairs.map(([key, value]) => `${key}=${value}`).join(" ");
    return `${new Date(time).toISOString()}  ${host.padEnd(12)}  ${name.padEnd(20)}  ${text}`.trimEnd();
}
