const LOAN_TTL_MS = 2_000;
/** Bound on the difference in speed of two monotonic clocks, with room for timers that fire late. */
const CLOCK_MARGIN = 0.1;

/** Durations that the safety of loans rests on, in ms. */
export const loanTerms = {
    /** A borrower stops using a loan this long after it sent the request for it. */
    ttlMs: LOAN_TTL_MS,
    /** An owner takes a loan back this long after it granted it. */
    reclaimAfterMs: LOAN_TTL_MS * (1 + CLOCK_MARGIN),
} as const;
