/** A host refuses keyed requests when its newest evidence about the documents is this old, in ms. */
export const FRESHNESS_BOUND_MS = 5_000;
