import type { TargetCandidate } from "./targetCandidate.js";

/** Policy that chooses a target among candidates. */
export interface TargetChooser {
    /** Returns the chosen target, or `undefined` if none can take a request now. */
    choose<T extends TargetCandidate>(candidates: readonly T[]): T | undefined;
}
