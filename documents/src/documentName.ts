import type { FleetDocument } from "./fleetDocument.js";

/** Name of a document that is replicated to all hosts. */
export type DocumentName = FleetDocument["name"];
