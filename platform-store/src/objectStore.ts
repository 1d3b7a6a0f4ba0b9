import type { Failure } from "@pistachioreel/result-code";
import type { Result } from "neverthrow";

/** An object of the store with its version. */
export interface StoredObject {
    readonly value: string;
    readonly version: string;
}

/** Condition of a write: the object must not exist, or must still have a version. */
export type WriteCondition = { readonly absent: true; } | { readonly version: string; };

/** Names that changed, and the revision to watch from next. */
export interface StoreChange {
    readonly revision: number;
    readonly names: readonly string[];
}

/**
 * Object store with versions, conditional updates and watches. Values are at most 1 MB.
 *
 * Failures: `storeUnreachable` (a write may have taken effect), `storeConflict`, `valueTooLarge`, `storeRejected`.
 */
export interface ObjectStore {
    /** Reads an object; `undefined` if there is none. */
    get(name: string): Promise<Result<StoredObject | undefined, Failure>>;
    /** Writes if the condition holds and returns the new version. */
    put(name: string, value: string, condition: WriteCondition): Promise<Result<string, Failure>>;
    /** Deletes if the version is still the given one. */
    delete(name: string, version: string): Promise<Result<void, Failure>>;
    /** Names of all objects that start with the prefix. */
    list(prefix: string): Promise<Result<readonly string[], Failure>>;
    /** Waits up to `waitMs` for changes after a revision. */
    watch(prefix: string, afterRevision: number, waitMs: number): Promise<Result<StoreChange, Failure>>;
}
