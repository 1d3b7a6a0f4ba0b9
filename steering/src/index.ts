export { NearestLeastLoaded } from "./nearestLeastLoaded.js";
export { PollingTargetQueue } from "./pollingTargetQueue.js";
export type { SlotGrant, SlotOutcome } from "./slotGrant.js";
export { SlotLedger } from "./slotLedger.js";
export type { SlotRequest } from "./slotRequest.js";
export type { TargetCandidate } from "./targetCandidate.js";
export type { TargetChooser } from "./targetChooser.js";
export type { TargetQueue } from "./targetQueue.js";
