import type { ObjectStore } from "@pistachioreel/platform-store";
import { Failure } from "@pistachioreel/result-code";
import { err, ok, type Result } from "neverthrow";
import { randomUUID } from "node:crypto";
import { digestContent } from "./digestContent.js";
import type { DocumentName } from "./documentName.js";
import { type DocumentPointer, documentPointerSchema, type FleetDocument } from "./fleetDocument.js";
import { pointerName } from "./pointerName.js";
import { splitContent } from "./splitContent.js";

interface StoredPointer {
    readonly pointer: DocumentPointer;
    /** Version that the store gave the pointer object; the condition of the next write. */
    readonly objectVersion: string;
}

interface CommitOptions {
    /** Document version that the change is based on; 0 if there is none yet. */
    readonly basedOn: number;
    /** Unique id of the commit. */
    readonly changeId: string;
}

const MAX_PART_BYTES = 512 * 1024;

/**
 * Reads and commits documents in the store. A document consists of immutable parts and of a pointer object that lists
 * them and is updated by a conditional write, which makes commits atomic.
 */
export class DocumentRepository {
    constructor(private readonly store: ObjectStore) {}

    /** Reads the pointer to the version in force, without the content; `undefined` if there is no document yet. */
    async readPointer(name: DocumentName): Promise<Result<DocumentPointer | undefined, Failure>> {
        return (await this.readStoredPointer(name)).map(stored => stored?.pointer);
    }

    /** Reads the document in force; `undefined` if there is none yet. */
    async read(name: DocumentName): Promise<Result<FleetDocument | undefined, Failure>> {
        const stored = await this.readStoredPointer(name);
        if (stored.isErr()) {
            return err(stored.error);
        }
        return stored.value === undefined ? ok(undefined) : this.readParts(name, stored.value.pointer);
    }

    /** Reads the document that a pointer refers to. Failures: `documentDamaged` and those of the store. */
    async readParts(name: DocumentName, pointer: DocumentPointer): Promise<Result<FleetDocument, Failure>> {
        const parts = await Promise.all(pointer.parts.map(part => this.store.get(partObjectName(name, part))));
        let content = "";
        for (const part of parts) {
            if (part.isErr()) {
                return err(part.error);
            }
            content += part.value?.value ?? "";
        }
        if (digestContent(content) !== pointer.digest) {
            return err(new Failure("documentDamaged", `the parts of ${name} do not match the digest`));
        }
        return ok({ name, version: pointer.version, digest: pointer.digest, content });
    }

    /**
     * Commits new content and returns its version. Committing the content in force again changes nothing and returns
     * the version in force.
     *
     * Failures: `storeConflict` if the document is no longer at `basedOn`, `commitUnknown` if the outcome of the write
     * cannot be read back, and those of the store.
     */
    async commit(name: DocumentName, content: string, opts: CommitOptions): Promise<Result<number, Failure>> {
        const current = await this.readStoredPointer(name);
        if (current.isErr()) {
            return err(current.error);
        }
        const digest = digestContent(content);
        if (current.value?.pointer.digest === digest) {
            return ok(current.value.pointer.version);
        }
        const currentVersion = current.value?.pointer.version ?? 0;
        if (currentVersion !== opts.basedOn) {
            return err(conflictFailure(name, opts.basedOn, currentVersion));
        }
        const parts = await this.writeParts(name, content);
        if (parts.isErr()) {
            return err(parts.error);
        }
        const pointer = { version: currentVersion + 1, digest, parts: parts.value, changeId: opts.changeId };
        return this.writePointer(name, pointer, current.value?.objectVersion);
    }

    /**
     * Writes a version that had been committed and that the store has lost, with its number. A version that the store has
     * under this number or a higher one stays. Returns whether it was written.
     *
     * Failures: as for {@link commit}.
     */
    async writeAgain({ name, version, digest, content }: FleetDocument): Promise<Result<boolean, Failure>> {
        const current = await this.readStoredPointer(name);
        if (current.isErr()) {
            return err(current.error);
        }
        if ((current.value?.pointer.version ?? 0) >= version) {
            return ok(false);
        }
        const parts = await this.writeParts(name, content);
        if (parts.isErr()) {
            return err(parts.error);
        }
        const pointer = { version, digest, parts: parts.value, changeId: randomUUID() };
        return (await this.writePointer(name, pointer, current.value?.objectVersion)).map(() => true);
    }

    private async readStoredPointer(name: DocumentName): Promise<Result<StoredPointer | undefined, Failure>> {
        const object = await this.store.get(pointerName(name));
        return object.andThen(found => {
            if (found === undefined) {
                return ok(undefined);
            }
            try {
                const pointer = documentPointerSchema.parse(JSON.parse(found.value));
                return ok({ pointer, objectVersion: found.version });
            }
            catch (cause) {
                return err(new Failure("documentDamaged", `the pointer of ${name} is not valid`, { cause }));
            }
        });
    }

    private async writeParts(name: DocumentName, content: string): Promise<Result<string[], Failure>> {
        const digests: string[] = [];
        for (const part of splitContent(content, MAX_PART_BYTES)) {
            const digest = digestContent(part);
            const written = await this.store.put(partObjectName(name, digest), part, { absent: true });
            // Parts are named by their digest, so a conflict means that the same part already exists.
            if (written.isErr() && written.error.code !== "storeConflict" && !await this.hasPart(name, digest)) {
                return err(written.error);
            }
            digests.push(digest);
        }
        return ok(digests);
    }

    /** Whether a part exists. Its write may have succeeded although the response was lost. */
    private async hasPart(name: DocumentName, digest: string): Promise<boolean> {
        const part = await this.store.get(partObjectName(name, digest));
        return part.isOk() && part.value !== undefined;
    }

    private async writePointer(
        name: DocumentName,
        pointer: DocumentPointer,
        objectVersion: string | undefined,
    ): Promise<Result<number, Failure>> {
        const condition = objectVersion === undefined ? { absent: true } as const : { version: objectVersion };
        const written = await this.store.put(pointerName(name), JSON.stringify(pointer), condition);
        if (written.isOk()) {
            return ok(pointer.version);
        }
        // A lost response leaves the outcome open, and a write that is repeated after one conflicts with itself.
        const readBack = await this.readPointer(name);
        if (readBack.isErr()) {
            return err(
                new Failure("commitUnknown", `the commit of ${name} may have taken effect`, { cause: written.error }),
            );
        }
        if (readBack.value?.changeId === pointer.changeId) {
            return ok(pointer.version);
        }
        if (written.error.code === "storeConflict") {
            return err(conflictFailure(name, pointer.version - 1, readBack.value?.version ?? 0));
        }
        // The write may still be in transit to the store, so its absence now does not prove that it failed.
        return err(
            new Failure("commitUnknown", `the commit of ${name} is not visible in the store so far`, {
                cause: written.error,
            }),
        );
    }
}

function partObjectName(name: DocumentName, digest: string): string {
    return `documents/${name}/parts/${digest}`;
}

function conflictFailure(name: DocumentName, basedOn: number, found: number): Failure {
    return new Failure("storeConflict", `${name} is at version ${found}, the change is based on ${basedOn}`, {
        details: { basedOn, found },
    });
}
