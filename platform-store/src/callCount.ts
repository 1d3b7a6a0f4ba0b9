/** Number of calls to the store by kind; a watch counts as one call however long it waits. */
export interface CallCount {
    read: number;
    write: number;
    watch: number;
}
