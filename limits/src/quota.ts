/** Part of a workspace's limit. */
export interface Quota {
    /** Requests per second. */
    readonly rate: number;
    /** Largest number of unspent tokens. */
    readonly capacity: number;
}
