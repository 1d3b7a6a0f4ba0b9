import type { TimelineEvent } from "./timelineEvent.js";

/** Renders an event as one line of text: time, host, name and key=value pairs. Absent and empty values are left out. */
export function renderEvent(event: TimelineEvent): string {
    const { time, host, event: name, request, workspace, cause, fields = {} } = event;
    const allFields = { request, workspace, cause, ...fields };
    const pairs = Object.entries(allFields).filter(([, value]) => value !== undefined && value !== "");
    const text = pairs.map(([key, value]) => `${key}=${value}`).join(" ");
    return `${new Date(time).toISOString()}  ${host.padEnd(12)}  ${name.padEnd(20)}  ${text}`.trimEnd();
}
