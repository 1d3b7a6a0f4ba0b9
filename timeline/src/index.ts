export { filterEvents } from "./filterEvents.js";
export { type MergedTimeline, mergeTimelines } from "./mergeTimelines.js";
export { renderEvent } from "./renderEvent.js";
export { renderHtml } from "./renderHtml.js";
export { Timeline } from "./timeline.js";
export { type TimelineEvent, timelineEventSchema } from "./timelineEvent.js";
export type { TimelineFilter } from "./timelineFilter.js";
