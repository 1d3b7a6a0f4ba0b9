export type { Rank } from "./rank.js";
export { RequestScheduler } from "./requestScheduler.js";
export type { ScheduledRequest } from "./scheduledRequest.js";
export type { ScheduleRefusal } from "./scheduleRefusal.js";
export { SlotReservation } from "./slotReservation.js";
export type { StartAttempt } from "./startAttempt.js";
