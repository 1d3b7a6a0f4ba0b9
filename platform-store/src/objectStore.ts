import type { Failure } from "@pistachioreel/result-code";
import type { Result } from "neverthrow";

/** An object of the store with its version, which each write changes. */
export interface StoredObject {
    readonly value: string;
    readonly version: string;
}

/** Condition of a write: the object does not exist yet, or still has the given version. */
export type WriteCondition = { readonly absent: true; } | { readonly version: string; };

/** Names of changed objects, and the revision after which the next watch starts. */
export interface StoreChange {
    readonly revision: number;
    readonly names: readonly string[];
}

/**
 * Object store with versions, conditional writes and watches. A value has at most 1,000,000 bytes.
 *
 * Failures: `storeUnreachable` without a response or with a status of 500 or above (a write may have taken effect
 * nevertheless), `storeConflict` if the condition of a write does not hold, `valueTooLarge`, `storeDenied`, and
 * `storeRejected` for other error responses and for those that do not match their schema.
 */
export interface ObjectStore {
    /** Reads an object; `undefined` if it does not exist. */
    get(name: string): Promise<Result<StoredObject | undefined, Failure>>;
    /** Writes an object if the condition holds and returns its new version. */
    put(name: string, value: string, condition: WriteCondition): Promise<Result<string, Failure>>;
    /** Deletes an object if it still has the given version. Succeeds if there is no such object. */
    delete(name: string, version: string): Promise<Result<void, Failure>>;
    /** Returns the names of all objects whose names start with the prefix. */
    list(prefix: string): Promise<Result<readonly string[], Failure>>;
    /** Waits up to `waitMs` for changes after a revision to objects whose names start with the prefix. */
    watch(prefix: string, afterRevision: number, waitMs: number): Promise<Result<StoreChange, Failure>>;
}
