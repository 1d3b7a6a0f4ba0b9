import type { ObjectStore } from "@pistachioreel/platform-store";
import { Failure } from "@pistachioreel/result-code";
import { err, ok, type Result } from "neverthrow";
import { type BlockMapContent, blockMapContentSchema } from "./blockMapContent.js";
import { DocumentRepository } from "./documentRepository.js";

interface BlockMapCommit {
    /** Version of the document `blocks` after the commit. */
    readonly version: number;
    /** Number and total size of the parts that the previous version did not list. */
    readonly writtenParts: number;
    readonly writtenBytes: number;
}

interface StoredPart {
    /** Digest of the content, by which the part is named. */
    readonly digest: string;
    /** Encoded content. */
    readonly text: string;
}

/**
 * Reads and commits the map of client blocks in the store. The document `blocks` lists the digests of the parts. The
 * parts are immutable objects named by their digest, so that successive versions share all unchanged parts.
 */
export class BlockMapRepository {
    private readonly documents: DocumentRepository;

    constructor(private readonly store: ObjectStore) {
        this.documents = new DocumentRepository(store);
    }

    /**
     * Writes the parts that the version in force does not list, then commits the list of parts.
     *
     * Failures: those of `DocumentRepository.commit`.
     */
    async commit(parts: readonly StoredPart[], changeId: string): Promise<Result<BlockMapCommit, Failure>> {
        const current = await this.documents.read("blocks");
        if (current.isErr()) {
            return err(current.error);
        }
        const currentDigests = new Set(
            current.value && BlockMapRepository.parse(current.value.content).unwrapOr({ parts: [] }).parts,
        );
        const missing = parts.filter(part => !currentDigests.has(part.digest));
        for (const { digest, text } of missing) {
            const written = await this.store.put(partObjectName(digest), text, { absent: true });
            // Parts are named by their digest, so a conflict means that the same part already exists.
            if (written.isErr() && written.error.code !== "storeConflict") {
                return err(written.error);
            }
        }
        const content: BlockMapContent = { parts: parts.map(part => part.digest) };
        const opts = { basedOn: current.value?.version ?? 0, changeId };
        const version = await this.documents.commit("blocks", JSON.stringify(content), opts);
        const writtenBytes = missing.reduce((sum, { text }) => sum + text.length, 0);
        return version.map(value => ({ version: value, writtenParts: missing.length, writtenBytes }));
    }

    /** Returns the text of a part. Failures: `documentDamaged` if the part is missing, and those of the store. */
    async readPart(digest: string): Promise<Result<string, Failure>> {
        const object = await this.store.get(partObjectName(digest));
        return object.andThen(found => {
            return found === undefined
                ? err(new Failure("documentDamaged", `block part ${digest} is missing`))
                : ok(found.value);
        });
    }

    /** Parses the content of the document `blocks`. Failure: `documentDamaged`. */
    static parse(content: string): Result<BlockMapContent, Failure> {
        try {
            return ok(blockMapContentSchema.parse(JSON.parse(content)));
        }
        catch (cause) {
            return err(new Failure("documentDamaged", "the list of block parts does not match its schema", { cause }));
        }
    }
}

function partObjectName(digest: string): string {
    return `block-parts/${digest}`;
}
