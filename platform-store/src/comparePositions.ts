import type { StorePosition } from "./storePosition.js";

/** Positive if the first position is the later one, 0 if they are equal, negative otherwise. */
export function comparePositions(a: StorePosition, b: StorePosition): number {
    return a.era - b.era || a.revision - b.revision;
}
