import type { Target } from "./target.js";

/** Is told when what a target states of itself changes. */
export interface StatementObserver {
    /** @param value Length of the pause in ms, or the limit in requests per second. */
    onStatement(target: Target, statement: "leaving" | "pause" | "limit" | "unlimited", value?: number): void;
    /** @param isFirst Whether this is the first invalid value of the header from this incarnation of the target. */
    onInvalidHeader(target: Target, header: string, isFirst: boolean): void;
}
