import { type Route, routeKey } from "@pistachioreel/desired-state";
import type { CallerRequest } from "./callerRequest.js";

/** Key of the object, unique over all routes; `undefined` if targets of the route gain nothing from sticky routing. */
export function objectKey(
    { object }: Pick<CallerRequest, "object">,
    route: Pick<Route, "host" | "pathPrefix" | "isSticky">,
): string | undefined {
    // Neither part can hold a line feed.
    return object === undefined || !route.isSticky ? undefined : `${routeKey(route)}\n${object}`;
}
