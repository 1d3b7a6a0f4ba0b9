/** Request for a slot on a target. */
export interface SlotRequest {
    readonly service: string;
    /** Absent on open routes. */
    readonly workspace: string | undefined;
    readonly priority: "urgent" | "normal" | "deferrable";
    /** Deadline of the request, as a monotonic time in ms. */
    readonly deadlineAt: number;
    /** Ids of targets that earlier attempts used. */
    readonly excluded: ReadonlySet<string>;
    /** Availability zones in which an earlier attempt was `unsent` or `broken`; targets in other zones are preferred. */
    readonly avoidedZones?: ReadonlySet<string>;
    /** Aborts when the caller disconnects. */
    readonly signal: AbortSignal;
}
