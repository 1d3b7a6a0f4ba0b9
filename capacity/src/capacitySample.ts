/** What one request shows of its target. */
export interface CapacitySample {
    /** Key of the target's incarnation. */
    readonly target: string;
    /** Concurrent requests at the target when this one started, including itself. */
    readonly concurrency: number;
    /** Slots that the target reports. */
    readonly slots: number;
    /** Time until the response, or until the request was given up. */
    readonly tookMs: number;
    /** Expected time with spare capacity, for this kind of request and warmth. */
    readonly unloadedMs: number;
    /** `refused`: not run, as the target had no room. `failed`: no usable response, or an error. */
    readonly end: "completed" | "refused" | "failed";
}
