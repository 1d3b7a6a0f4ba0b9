import type { Target } from "./target.js";

/**
 * A target for a request, or why there is none: `noTarget` if none of the service is usable, `noRoom` if none is
 * expected to answer in time.
 */
export type PlacementChoice =
    | {
        readonly target: Target;
        readonly isWarm: boolean;
        readonly expectedMs: number;
        /** Expected time at a target of ordinary speed with a free slot, in ms. */
        readonly baseMs: number;
    }
    | { readonly refusal: "noTarget" | "noRoom"; readonly retryAfterMs: number; };
