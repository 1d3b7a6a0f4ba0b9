/** One line of a target's record file. */
export interface TargetRecord {
    readonly event: "start" | "end" | "cancelled";
    readonly target: string;
    /** Set by the caller in `X-Marker`; unique for each piece of work, equal for repeats of it. */
    readonly marker: string;
    readonly requestId: string;
    /** Wall clock in ms. */
    readonly time: number;
    readonly method?: string;
    readonly path?: string;
    readonly workspace?: string;
    /** All header names and values that reached the target. */
    readonly head?: readonly string[];
    readonly running?: number;
    readonly bodyBytes?: number;
}
