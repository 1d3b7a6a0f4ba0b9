import type { FleetDocument } from "./fleetDocument.js";

/** Names of the documents that all hosts hold. */
export type DocumentName = FleetDocument["name"];
