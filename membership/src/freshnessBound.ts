/** A host refuses keyed requests once its newest evidence about the documents is this old. */
export const FRESHNESS_BOUND_MS = 5_000;
