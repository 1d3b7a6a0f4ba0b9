/** Outcome of an attempt, as far as the choice of targets depends on it. */
export interface SlotOutcome {
    readonly end: "complete" | "unsent" | "refused" | "broken" | "cut" | "cancelled";
    /** Time from dispatch to the end, in ms. */
    readonly latencyMs: number;
}

/** A slot on a target for one attempt. */
export interface SlotGrant<T> {
    readonly target: T;
    /** Releases the slot; must be called once. */
    release(outcome: SlotOutcome): void;
}
