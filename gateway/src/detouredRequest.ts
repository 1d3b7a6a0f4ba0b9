/** What another host says of a request that it passes on. It has checked the limit of the request's workspace. */
export interface DetouredRequest {
    /** Number of targets that the request may be sent to. */
    readonly maxAttempts: number;
}
