export { FRESHNESS_BOUND_MS } from "./freshnessBound.js";
export { type HostReport, hostReportSchema } from "./hostReport.js";
export { Membership } from "./membership.js";
export { nextRoster } from "./nextRoster.js";
export { rankHosts } from "./rankHosts.js";
export type { ReceivedReport } from "./receivedReport.js";
export { Roster } from "./roster.js";
export type { RosterMember } from "./rosterMember.js";
export type { RosterView } from "./rosterView.js";
