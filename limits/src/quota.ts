/** Part of a workspace's limit. */
export interface Quota {
    /** Requests per second. */
    readonly rate: number;
    /** Tokens that may be kept. */
    readonly capacity: number;
}
