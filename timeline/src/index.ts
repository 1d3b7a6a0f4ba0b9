export { Timeline } from "./timeline.js";
export { type TimelineEvent, timelineEventSchema } from "./timelineEvent.js";
