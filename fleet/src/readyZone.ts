/** Hosts of one availability zone that accept callers. */
export interface ReadyZone {
    readonly region: string;
    /** `address:port` of the listeners for callers. */
    readonly callers: readonly string[];
}
