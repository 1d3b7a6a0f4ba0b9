import { digestContent } from "./digestContent.js";
import type { DocumentName } from "./documentName.js";
import type { FleetDocument } from "./fleetDocument.js";

/** This host's copies of the documents, each in the newest version received so far; versions never go back. */
export class DocumentReplica {
    private readonly documents = new Map<DocumentName, FleetDocument>();

    /**
     * Stores the document if it is newer than the current version and its content matches its digest.
     *
     * @returns Whether the document was stored.
     */
    applyIfNewer(document: FleetDocument): boolean {
        if (document.version <= this.versionOf(document.name) || digestContent(document.content) !== document.digest) {
            return false;
        }
        this.documents.set(document.name, document);
        return true;
    }

    /** Returns the current version of a document; `undefined` if there is none. */
    get(name: DocumentName): FleetDocument | undefined {
        return this.documents.get(name);
    }

    /** Returns the current version number of a document; 0 if there is none. */
    versionOf(name: DocumentName): number {
        return this.documents.get(name)?.version ?? 0;
    }
}
