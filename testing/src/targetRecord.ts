/** One line of the file in which targets record the requests that they run. */
export interface TargetRecord {
    /** `cancelled`: the connection closed before the response was complete. */
    readonly event: "start" | "end" | "cancelled";
    /** Id of the target, `address:port`. */
    readonly target: string;
    /** Value of `X-Marker`, set by the caller; unique for each request and the same for its repeats. */
    readonly marker: string;
    readonly requestId: string;
    /** Unix time in ms. */
    readonly time: number;
    readonly method?: string;
    readonly path?: string;
    readonly workspace?: string;
    /** All header names and values that reached the target. */
    readonly head?: readonly string[];
    /** Requests that the target was running, including this one. */
    readonly running?: number;
    readonly bodyBytes?: number;
}
