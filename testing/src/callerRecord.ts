/** What a caller saw of one request. */
export interface CallerRecord {
    readonly marker: string;
    readonly path: string;
    readonly isIdempotent: boolean;
    /** `complete`: the whole own answer; `not-run`; `unknown`: may have run; `wrong`: somebody else's or a short answer. */
    readonly outcome: "complete" | "not-run" | "unknown" | "wrong";
    readonly status: number;
    /** Numbered result code; 0 if the answer carried none. */
    readonly code: number;
    readonly latencyMs: number;
    readonly sentAt: number;
}
