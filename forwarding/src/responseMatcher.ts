/** Tells whether an answer on a connection belongs to the request that runs there. */
export interface ResponseMatcher {
    /**
     * - `own`: it belongs to the request.
     * - `stray`: it belongs to an earlier request and is to be skipped.
     * - `invalid`: nothing on the connection can be trusted.
     */
    matchResponse(requestId: string, status: number, headers: readonly string[]): "own" | "stray" | "invalid";
}
