/** Properties of a request that determine the choice of its target. */
export interface PlacementRequest {
    readonly service: string;
    /** Key of the route. */
    readonly route: string;
    /** Id of the object that the request is for; `undefined` if there is none. */
    readonly object: string | undefined;
    /** Regions that may serve the request; `undefined` allows all. */
    readonly regions: readonly string[] | undefined;
    /** Ids of targets that earlier attempts have used. */
    readonly excluded: ReadonlySet<string>;
    readonly bodyBytes: number;
    /** Latency objective of the route. */
    readonly objectiveMs: number;
    /** Monotonic time in ms at which the latency objective expires. */
    readonly objectiveAt: number;
    /** Monotonic time in ms after which a response is useless to the caller. */
    readonly deadlineAt: number;
    /** Whether an earlier choice found no room; it is not counted as demand for limits again. */
    readonly isRepeated?: boolean;
    /** Share of a target's slots and queue up to which the request may fill them; 1 by default. */
    readonly capacityShare?: number;
}
