/** What a request says about itself besides method, headers and body. */
export interface CallerRequest {
    readonly id: string | undefined;
    /** Host name in lower case, without a port. */
    readonly host: string;
    /** Path without the query. */
    readonly path: string;
    /** How long the caller waits, in ms; `undefined` if it does not say. */
    readonly deadlineMs: number | undefined;
    /** Names the object that the request concerns. */
    readonly object: string | undefined;
    readonly key: string | undefined;
}
