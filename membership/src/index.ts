export type { RosterView } from "./rosterView.js";
