import type { Route, Workspace } from "@pistachioreel/desired-state";

/** A request that has been admitted and read completely, ready to be sent to a target. */
export interface RelayedRequest {
    readonly id: string;
    readonly method: string;
    /** Path and query, as the caller sent them. */
    readonly url: string;
    /** Headers as received, as alternating names and values. */
    readonly rawHeaders: readonly string[];
    readonly body: Buffer | undefined;
    readonly route: Route;
    readonly service: string;
    readonly workspace: Workspace | undefined;
    /** Key of the object that the request concerns, unique over all routes; `undefined` without sticky routing. */
    readonly object: string | undefined;
    /** Monotonic time in ms of the route's latency objective; a later response has less value for the caller. */
    readonly objectiveAt: number;
    /** Monotonic time in ms of the caller's deadline or the route's timeout, whichever is earlier. */
    readonly deadlineAt: number;
    /** Whether another host has passed the request on; it is not passed on again. */
    readonly isDetoured: boolean;
}
