/** A point in the history of the store. Revisions order changes only within one era. */
export interface StorePosition {
    /** Number of times that the store has come back from an older copy; its revisions are given out again then. */
    readonly era: number;
    readonly revision: number;
}
