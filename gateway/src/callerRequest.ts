/** Metadata that a dialect parses from a caller's request. */
export interface CallerRequest {
    /** Id that the caller gave the request; requests without one are refused. */
    readonly id: string | undefined;
    /** Host name in lower case, without a port. */
    readonly host: string;
    /** Path without the query. */
    readonly path: string;
    /** Time for which the caller waits for the response, in ms; `undefined` if it does not state it. */
    readonly deadlineMs: number | undefined;
    /** Name of the object that the request concerns, for sticky routing. */
    readonly object: string | undefined;
    /** API key of the caller. */
    readonly key: string | undefined;
}
