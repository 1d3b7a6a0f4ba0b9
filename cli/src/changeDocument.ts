import { DocumentRepository } from "@pistachioreel/documents";
import type { HostList, ObjectStore } from "@pistachioreel/platform-store";
import type { Failure } from "@pistachioreel/result-code";
import { err, ok, type Result } from "neverthrow";
import { randomUUID } from "node:crypto";
import type { OperatorDocument } from "./operatorDocument.js";
import { recoverDocument } from "./recoverDocument.js";

interface DocumentChange<T> {
    /** New content; absent if nothing changes. */
    readonly content?: string;
    /** Result that is returned to the caller of `changeDocument`. */
    readonly value: T;
}

interface ChangedDocument<T> {
    readonly value: T;
    /** Version that contains the change, or the present version if nothing changed; 0 if there is no document. */
    readonly version: number;
}

const MAX_ATTEMPTS = 5;

/**
 * Applies a change to the stored document. If another operator commits a change meanwhile, the document is read and
 * changed again, up to `MAX_ATTEMPTS` times in all. A version that the store has lost and hosts have in force is written again first.
 * Failures: those of `change`, of {@link recoverDocument} and of the repository, and `storeConflict` after the last attempt.
 */
export async function changeDocument<T>(
    store: HostList & ObjectStore,
    name: OperatorDocument,
    change: (content: string | undefined) => Result<DocumentChange<T>, Failure>,
): Promise<Result<ChangedDocument<T>, Failure>> {
    const recovered = await recoverDocument(store, name);
    if (recovered.isErr()) {
        return err(recovered.error);
    }
    const repository = new DocumentRepository(store);
    for (let attempt = 1;; attempt++) {
        const document = await repository.read(name);
        if (document.isErr()) {
            return err(document.error);
        }
        const basedOn = document.value?.version ?? 0;
        const changed = change(document.value?.content);
        if (changed.isErr()) {
            return err(changed.error);
        }
        const { content, value } = changed.value;
        if (content === undefined) {
            return ok({ value, version: basedOn });
        }
        const committed = await repository.commit(name, content, { basedOn, changeId: randomUUID() });
        if (committed.isOk()) {
            return ok({ value, version: committed.value });
        }
        if (committed.error.code !== "storeConflict" || attempt >= MAX_ATTEMPTS) {
            return err(committed.error);
        }
    }
}
