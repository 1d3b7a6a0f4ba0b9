import type { TimelineEvent } from "./timelineEvent.js";
import type { TimelineFilter } from "./timelineFilter.js";

/** Returns the events that meet all conditions of the filter, in their order. */
export function filterEvents(events: readonly TimelineEvent[], filter: TimelineFilter): TimelineEvent[] {
    const { host, workspace, request, configVersion, from = -Infinity, to = Infinity } = filter;
    return events.filter(event =>
        (host === undefined || event.host === host) &&
        (workspace === undefined || event.workspace === workspace) &&
        (request === undefined || event.request === request) &&
        (configVersion === undefined || hasConfigVersion(event, configVersion)) &&
        event.time >= from && event.time <= to
    );
}

function hasConfigVersion({ fields }: TimelineEvent, version: number): boolean {
    return fields?.["document"] === "config" && fields["version"] === version;
}
