/** The part of the roster that decides this host's share of each limit. Shares of two hosts never overlap. */
export interface ShareView {
    /** Number of equal shares that each limit is divided into; 0 while unknown. */
    readonly size: number;
    /** Whether this host owns one of the shares: its view is fresh and its entry in the roster is complete. */
    ownsShare(): boolean;
}
