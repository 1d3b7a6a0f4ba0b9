import type { Target } from "./target.js";

/**
 * The target for a request, or the reason for a refusal: `noTarget` if no allowed target of the service is available,
 * `noRoom` if the targets of the object are too busy or the chosen one cannot respond before the deadline.
 */
export type PlacementChoice =
    | {
        readonly target: Target;
        readonly isWarm: boolean;
        readonly expectedMs: number;
        /** Expected time at a target of average speed with a free slot, in ms. */
        readonly baseMs: number;
    }
    | { readonly refusal: "noTarget" | "noRoom"; readonly retryAfterMs: number; };
