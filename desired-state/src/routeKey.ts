import type { Route } from "./route.js";

/**
 * Key of a route, the same in all versions of the desired state that have the route. Names of routes are not unique; the host name
 * and prefix select the route, and the slash that begins the prefix can't be part of a host name.
 */
export function routeKey({ host, pathPrefix }: Pick<Route, "host" | "pathPrefix">): string {
    return host + pathPrefix;
}
