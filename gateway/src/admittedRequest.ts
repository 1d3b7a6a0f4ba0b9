import type { Route, Workspace } from "@pistachioreel/desired-state";

/** What the head of a request that is served says, by the desired state in force. */
export interface AdmittedRequest {
    readonly id: string;
    readonly route: Route;
    /** `undefined` if no key identifies it, which public routes allow. */
    readonly workspace: Workspace | undefined;
    /** Monotonic time in ms of the caller's deadline or the route's timeout, whichever is earlier. */
    readonly deadlineAt: number;
    /** Largest body that is accepted, in bytes. */
    readonly maxBodyBytes: number;
}
