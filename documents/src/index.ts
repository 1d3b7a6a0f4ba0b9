export { BlockMapRepository } from "./blockMapRepository.js";
export { digestContent } from "./digestContent.js";
export type { DocumentName } from "./documentName.js";
export { DocumentReplica } from "./documentReplica.js";
export { DocumentReplicator } from "./documentReplicator.js";
export { DocumentRepository } from "./documentRepository.js";
export { type FleetDocument, fleetDocumentSchema } from "./fleetDocument.js";
export { pointerName } from "./pointerName.js";
