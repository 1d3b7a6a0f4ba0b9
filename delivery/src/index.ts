export { ClaimSweeper } from "./claimSweeper.js";
export { CrashSuspects } from "./crashSuspects.js";
export { Delivery } from "./delivery.js";
export type { DeliveryObserver } from "./deliveryObserver.js";
export type { DeliveryRequest } from "./deliveryRequest.js";
export { IdempotencyClaim } from "./idempotencyClaim.js";
export { OPEN_WORKSPACE } from "./openWorkspace.js";
export { RetryBudget } from "./retryBudget.js";
export { TargetPools } from "./targetPools.js";
