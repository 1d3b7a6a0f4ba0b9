/** How the work on a slot ended, as far as steering learns from it. */
export interface SlotOutcome {
    readonly end: "complete" | "unsent" | "refused" | "broken" | "cut" | "cancelled";
    /** Time from dispatch to the end, in ms. */
    readonly latencyMs: number;
}

/** A slot on a target for one attempt. */
export interface SlotGrant<T> {
    readonly target: T;
    /** Gives the slot back; must be called once. */
    release(outcome: SlotOutcome): void;
}
