export { NearestLeastLoaded } from "./nearestLeastLoaded.js";
export { SlotLedger } from "./slotLedger.js";
export type { TargetCandidate } from "./targetCandidate.js";
export type { TargetChooser } from "./targetChooser.js";
