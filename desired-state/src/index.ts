export type { CallerLimits } from "./callerLimits.js";
export { DesiredState } from "./desiredState.js";
export type { Route } from "./route.js";
export { routeKey } from "./routeKey.js";
export type { Service } from "./service.js";
export { TrafficSplitter } from "./trafficSplitter.js";
export type { Workspace } from "./workspace.js";
