/** What limits need to know about the roster. Shares of two hosts never overlap. */
export interface ShareView {
    /** Number of shares that each limit is divided into; 0 while it is not known. */
    readonly size: number;
    /** Whether this host owns one of them: it is fresh and its entry in the roster is complete. */
    ownsShare(): boolean;
}
