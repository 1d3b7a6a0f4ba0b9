import type { StorePosition } from "@pistachioreel/platform-store";

/** A feed of the store whose objects hosts also replicate to each other, for hosts that cannot reach the store. */
export interface ReplicatedFeed {
    /** Position of the newest change that this host knows. */
    readonly position: StorePosition;
    /** Whether this host has received a full copy of the objects, from the store or from another host. */
    readonly isComplete: boolean;
    /** Number of changes that this host has applied since its start. */
    readonly changeCount: number;
    /**
     * Entries that this host knows, as JSON data for another host that knows all changes up to a position. Removals are
     * always included, as they may bear the revision of the object's last change.
     */
    encode(after?: StorePosition): unknown;
    /** Applies the entries of another host that are newer; returns false if the data is not valid. */
    merge(sent: unknown): boolean;
}
