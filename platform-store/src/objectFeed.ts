import type { Failure } from "@pistachioreel/result-code";
import type { Result } from "neverthrow";

/** One object of a feed as it was last changed. */
export interface FeedEntry<T> {
    readonly name: string;
    /** Revision of the store at the object's last change. */
    readonly revision: number;
    /** `undefined` if the object has been removed, or cannot be used. */
    readonly value: T | undefined;
}

/** Objects or changes, and the revision of the store up to which they are complete. */
export interface FeedPage<T> {
    readonly entries: readonly FeedEntry<T>[];
    readonly revision: number;
}

/**
 * Objects of one kind in the store, decoded.
 *
 * Failures: `storeUnreachable`, `storeRejected`, and `historyGone` if changes after a revision are no longer known.
 */
export interface ObjectFeed<T> {
    /** Reads all objects. */
    read(): Promise<Result<FeedPage<T>, Failure>>;
    /** Waits up to `waitMs` for changes after a revision. */
    follow(afterRevision: number, waitMs: number): Promise<Result<FeedPage<T>, Failure>>;
}
