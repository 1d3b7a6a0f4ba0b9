/** A host that accepts callers. */
export interface ReadyHost {
    readonly availabilityZone: string;
    readonly region: string;
    /** `address:port` of the listener for callers. */
    readonly callers: string;
}
