import type { Failure } from "@pistachioreel/result-code";
import type { Result } from "neverthrow";
import type { StorePosition } from "./storePosition.js";

/** State of one object of a feed after its last change, with the position of that change. */
export interface FeedEntry<T> extends StorePosition {
    readonly name: string;
    /** `undefined` if the object has been removed or its content is not valid. */
    readonly value: T | undefined;
    /**
     * Numbers that the object's writer raises with each change, the most significant first; of the last known value, if the
     * object has been removed. `undefined` if the writer has none.
     */
    readonly order?: readonly number[] | undefined;
    /**
     * Monotonic time in ms of this host at which the object was last known to exist, if it has been removed since; `undefined` if that is
     * not known.
     */
    readonly lastSeenAt?: number | undefined;
}

/** A set of objects or of changes, with the position of the store up to which it is complete. */
export interface FeedPage<T> extends StorePosition {
    readonly entries: readonly FeedEntry<T>[];
}

/**
 * Reads and follows the objects of one kind in the store, decoded.
 *
 * Failures: `storeUnreachable`, `storeRejected`, and `historyGone` if the store no longer has the changes after the
 * requested revision or has never given it out. A page of another era than expected is returned as it is.
 */
export interface ObjectFeed<T> {
    /** Reads all objects. */
    read(): Promise<Result<FeedPage<T>, Failure>>;
    /** Returns the changes after a revision; waits up to `waitMs` if there are none. Fails when the signal aborts. */
    follow(afterRevision: number, waitMs: number, signal?: AbortSignal): Promise<Result<FeedPage<T>, Failure>>;
}
