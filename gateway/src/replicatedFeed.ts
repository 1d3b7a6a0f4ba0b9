/** A feed of the store whose objects hosts also replicate to each other, for hosts that cannot reach the store. */
export interface ReplicatedFeed {
    /** Revision of the newest change that this host knows. */
    readonly revision: number;
    /** Whether this host has received a full copy of the objects, from the store or from another host. */
    readonly isComplete: boolean;
    /** All entries that this host knows, tombstones included, as JSON data for another host. */
    encode(): unknown;
    /** Applies the entries of another host that are newer; returns false if the data is not valid. */
    merge(sent: unknown): boolean;
}
