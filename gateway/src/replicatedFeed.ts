/** A feed whose objects hosts pass on to each other. */
export interface ReplicatedFeed {
    /** Revision of the newest change that this host knows. */
    readonly revision: number;
    /** Whether this host has read all objects, from the store or from another host. */
    readonly isComplete: boolean;
    /** All that this host knows, for another host. */
    encode(): unknown;
    /** Takes what another host knows; false if it is not valid. */
    merge(sent: unknown): boolean;
}
