export { Delivery } from "./delivery.js";
export type { DeliveryRequest } from "./deliveryRequest.js";
export { TargetPools } from "./targetPools.js";
