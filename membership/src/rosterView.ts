/**
 * Roster properties on which workspace limits depend. A host owns a share of `1 / size` of each limit while `isFresh()`
 * and its own id is in both `owners()` and `completedOwners()`; otherwise it owns none. These shares never overlap:
 * `size` grows as soon as a member is added and shrinks only when a removal is complete.
 */
export interface RosterView {
    /** Ids of the hosts of the newest known roster. A host that is not among them owns no share. */
    owners(): readonly string[];
    /** Ids of the hosts whose addition to the roster is complete, so that all others have shrunk their shares. */
    completedOwners(): readonly string[];
    /** Whether this host's evidence about the roster is younger than the freshness bound. */
    isFresh(): boolean;
    /** Number of shares that each limit is divided into; 0 while there is no roster. */
    readonly size: number;
    /** Whether this process owns a share: fresh, in the roster under its own incarnation, and its addition complete. */
    ownsShare(): boolean;
}
