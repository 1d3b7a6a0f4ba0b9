interface StartOptions {
    /** Whether the request has a reserved turn. It may then fill a target beyond the share of its rank. */
    readonly isReservedTurn: boolean;
}

/**
 * Starts a request and returns a value, or returns `undefined` while there is no capacity. Called in rank order whenever capacity
 * may have become available, and never again once it has returned a value or thrown.
 */
export type StartAttempt<T> = (opts: StartOptions) => T | undefined;
