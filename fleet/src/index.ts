export { FleetBroadcast } from "./fleetBroadcast.js";
export { type FleetReport, fleetReportSchema } from "./fleetReport.js";
export { FleetView } from "./fleetView.js";
export type { FleetViewObserver } from "./fleetViewObserver.js";
export type { ListedHost } from "./listedHost.js";
export type { ReadyHost } from "./readyHost.js";
export { RelayTopology } from "./relayTopology.js";
export { SummaryDeltas } from "./summaryDeltas.js";
export type { Usage } from "./usage.js";
