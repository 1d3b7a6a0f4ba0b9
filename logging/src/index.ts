export type { LogEvent } from "./logEvent.js";
export { Logger } from "./logger.js";
export { renderLogLine } from "./renderLogLine.js";
