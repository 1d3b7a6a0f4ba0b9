export type { LogEvent } from "./logEvent.js";
export { Logger } from "./logger.js";
export { renderLine } from "./renderLine.js";
