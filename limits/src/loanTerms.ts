const LOAN_TTL_MS = 2_000;
/** Upper bound of the relative drift between two hosts' monotonic clocks, with room for timers that fire late. */
const CLOCK_MARGIN = 0.1;

/** Durations of loans, in ms. An owner waits longer than a borrower, so that no part of a limit is used twice. */
export const loanTerms = {
    /** Time after sending its request at which a borrower stops using the loan. */
    ttlMs: LOAN_TTL_MS,
    /** Time after granting a loan at which the owner reclaims it. */
    reclaimAfterMs: LOAN_TTL_MS * (1 + CLOCK_MARGIN),
} as const;
