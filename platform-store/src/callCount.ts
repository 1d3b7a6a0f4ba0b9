/** Calls to the store by kind; a waiting watch counts as one. */
export interface CallCount {
    read: number;
    write: number;
    watch: number;
}
