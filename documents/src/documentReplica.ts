import { digestContent } from "./digestContent.js";
import type { DocumentName } from "./documentName.js";
import type { FleetDocument } from "./fleetDocument.js";

/** The newest documents that a host has seen. A document is never replaced by an older version. */
export class DocumentReplica {
    private readonly documents = new Map<DocumentName, FleetDocument>();

    /** Takes the document if it is newer than the one held and intact; tells whether it did. */
    applyIfNewer(document: FleetDocument): boolean {
        if (document.version <= this.versionOf(document.name) || digestContent(document.content) !== document.digest) {
            return false;
        }
        this.documents.set(document.name, document);
        return true;
    }

    get(name: DocumentName): FleetDocument | undefined {
        return this.documents.get(name);
    }

    /** Version held; 0 if there is none. */
    versionOf(name: DocumentName): number {
        return this.documents.get(name)?.version ?? 0;
    }
}
