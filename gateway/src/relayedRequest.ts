import type { Route, Workspace } from "@pistachioreel/desired-state";

/** A request that has been admitted and read, with its body. */
export interface RelayedRequest {
    readonly id: string;
    readonly method: string;
    /** Path and query, as the caller sent them. */
    readonly url: string;
    readonly rawHeaders: readonly string[];
    readonly body: Buffer | undefined;
    readonly route: Route;
    readonly service: string;
    readonly workspace: Workspace | undefined;
    readonly key: string | undefined;
    readonly object: string | undefined;
    /** Monotonic time in ms until which an answer earns its full benefit. */
    readonly objectiveAt: number;
    /** Monotonic time in ms at which the caller or the route gives up. */
    readonly deadlineAt: number;
}
