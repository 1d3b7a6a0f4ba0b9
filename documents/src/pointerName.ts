import type { DocumentName } from "./documentName.js";

/** Name of the object that points to the document in force. One watch on `documents/` covers all pointers. */
export function pointerName(name: DocumentName): string {
    return `documents/${name}/current`;
}
