import type { Rank } from "./rank.js";

/** Negative if the first rank is the higher one, positive if the second one is. */
export function compareRanks(first: Rank, second: Rank): number {
    return first.workspacePriority - second.workspacePriority || first.routePriority - second.routePriority;
}
