/** Outcome of one request as seen by the caller. */
export interface CallerRecord {
    readonly marker: string;
    readonly path: string;
    readonly isIdempotent: boolean;
    /**
     * - `complete`: received the complete response to this request.
     * - `not-run`: reported as not run, or never sent because the connection was refused.
     * - `unknown`: failed, and may have run.
     * - `wrong`: received a 200 response to another request, or a malformed or incomplete one.
     */
    readonly outcome: "complete" | "not-run" | "unknown" | "wrong";
    /** HTTP status; 0 if no response was received. */
    readonly status: number;
    /** Value of `X-Result-Code`; 0 if the response had none. */
    readonly code: number;
    readonly latencyMs: number;
    /** Unix time in ms. */
    readonly sentAt: number;
}
