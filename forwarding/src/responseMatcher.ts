/** Decides whether a response on a connection belongs to the request in progress. */
export interface ResponseMatcher {
    /** Whether the sender never sends bytes of one response in the place of another one's; false by default. */
    readonly trustsBodies?: boolean;

    /**
     * - `own`: the response belongs to the request.
     * - `unattributed`: the response names no request, as refusals may. It certainly belongs to the request in progress only
     *   if that is the first on the connection. The connection is closed after it, as it could be repeated.
     * - `stray`: the response belongs to an earlier request and must be skipped.
     * - `invalid`: the response cannot be attributed to any request; the connection must be closed.
     *
     * @param headers Alternating names and values.
     */
    matchResponse(
        requestId: string,
        status: number,
        headers: readonly string[],
    ): "own" | "unattributed" | "stray" | "invalid";
}
