import type { Rank } from "./rank.js";

/** Name of a rank in metrics and keys, for example `0/2`: priority of the workspace, then of the route. */
export function rankName({ workspacePriority, routePriority }: Rank): string {
    return `${workspacePriority}/${routePriority}`;
}
