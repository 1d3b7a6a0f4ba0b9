import type { DocumentName } from "./documentName.js";

/** Returns the name of a document's pointer object. One watch on the prefix `documents/` covers all pointers. */
export function pointerName(name: DocumentName): string {
    return `documents/${name}/current`;
}
