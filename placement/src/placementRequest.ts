/** What the choice of a target depends on. */
export interface PlacementRequest {
    readonly service: string;
    readonly route: string;
    /** Names the object that the request concerns; absent if there is none. */
    readonly object: string | undefined;
    /** Regions that may serve the request; `undefined` allows all. */
    readonly regions: readonly string[] | undefined;
    /** Ids of targets that were tried before. */
    readonly excluded: ReadonlySet<string>;
    /** Bytes that the request carries. */
    readonly bodyBytes: number;
    readonly objectiveMs: number;
    /** Monotonic time in ms until which an answer earns its full benefit. */
    readonly objectiveAt: number;
    /** Monotonic time in ms after which an answer is useless. */
    readonly deadlineAt: number;
}
