import type { TargetResponse } from "./targetResponse.js";

/**
 * Result of one exchange with a target.
 *
 * - `answered`: a complete response to the request was received.
 * - `unsent`: no byte of the request was sent. `isWithdrawn` if the caller of the exchange did not want it any more.
 * - `lost`: the request was sent, but no complete response was received; the target may have run it.
 */
export type ExchangeResult =
    | { readonly end: "answered"; readonly response: TargetResponse; }
    | { readonly end: "unsent"; readonly reason: string; readonly isWithdrawn?: boolean; }
    | { readonly end: "lost"; readonly reason: string; };
