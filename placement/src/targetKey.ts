import type { Target } from "./target.js";

/** Key that identifies one incarnation of a target. */
export function targetKey({ id, incarnation }: Target): string {
    return `${id}/${incarnation}`;
}
