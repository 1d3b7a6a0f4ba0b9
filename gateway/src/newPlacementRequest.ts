import { type Route, routeKey, type Workspace } from "@pistachioreel/desired-state";
import type { PlacementRequest } from "@pistachioreel/placement";
import { allowedRegions } from "./allowedRegions.js";

/** What the choice of a target depends on, apart from route and workspace. */
interface RequestProperties extends Pick<PlacementRequest, "service" | "object" | "objectiveAt" | "deadlineAt"> {
    readonly route: Route;
    readonly workspace: Workspace | undefined;
    readonly bodyBytes: number;
    /** Ids of targets that the request is not sent to; none by default. */
    readonly excluded?: ReadonlySet<string>;
}

/** Creates the request for the choice of a target. */
export function newPlacementRequest(properties: RequestProperties): PlacementRequest {
    const { route, workspace, service, object, bodyBytes, objectiveAt, deadlineAt, excluded = new Set() } = properties;
    return {
        service,
        route: routeKey(route),
        object,
        regions: allowedRegions({ route, workspace }),
        excluded,
        bodyBytes,
        objectiveMs: route.objectiveMs,
        objectiveAt,
        deadlineAt,
    };
}
