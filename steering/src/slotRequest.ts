/** What a request needs of a target. */
export interface SlotRequest {
    readonly service: string;
    /** Absent on open routes. */
    readonly workspace: string | undefined;
    readonly priority: "urgent" | "normal" | "deferrable";
    /** Monotonic time in ms after which the request is not worth running. */
    readonly deadlineAt: number;
    /** Targets that earlier attempts have tried. */
    readonly excluded: ReadonlySet<string>;
    /** Availability zones in which an earlier attempt broke; targets elsewhere are preferred. */
    readonly avoidedZones?: ReadonlySet<string>;
    /** Aborts when the caller disconnects. */
    readonly signal: AbortSignal;
}
