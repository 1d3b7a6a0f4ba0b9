import type { RelayedRequest } from "./relayedRequest.js";

/** Regions that may get a request, by its route and its workspace; `undefined` if all may. */
export function allowedRegions(
    { route, workspace }: Pick<RelayedRequest, "route" | "workspace">,
): readonly string[] | undefined {
    // An empty list allows all.
    const lists = [route.regions, workspace?.regions ?? []].filter(list => list.length > 0);
    return lists.length === 0 ? undefined : lists.reduce((common, list) => common.filter(name => list.includes(name)));
}
