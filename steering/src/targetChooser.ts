import type { TargetCandidate } from "./targetCandidate.js";

/** A policy that chooses a target among candidates. */
export interface TargetChooser {
    /** The chosen target; `undefined` if none can take a request now. */
    choose<T extends TargetCandidate>(candidates: readonly T[]): T | undefined;
}
