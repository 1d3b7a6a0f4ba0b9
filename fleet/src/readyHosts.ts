/** Hosts of one availability zone that accept callers. */
export interface ReadyZone {
    readonly region: string;
    /** `address:port` of the listeners for callers. */
    readonly callers: readonly string[];
}

/** A host that accepts callers. */
export interface ReadyHost {
    readonly availabilityZone: string;
    readonly region: string;
    /** `address:port` of the listener for callers. */
    readonly callers: string;
}
