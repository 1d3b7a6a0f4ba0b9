export type { CapacitySample } from "./capacitySample.js";
export { TargetCapacities } from "./targetCapacities.js";
export { TargetPaces } from "./targetPaces.js";
