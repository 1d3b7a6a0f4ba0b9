/** Content of a valid desired state with one route and one service; `opts` replaces fields. */
export function stateContent(opts: Record<string, unknown> = {}) {
    return {
        version: 1,
        routes: [routeContent()],
        services: [{ name: "svc", maxConnections: 100, coldStartMs: 0, coldPerSecond: 10 }],
        workspaces: [],
        limits: { headerBytes: 16_384, bodyBytes: 1_000_000, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
        ...opts,
    };
}

/** Content of a valid route for all paths of `a.example`; `opts` replaces fields. */
export function routeContent(opts: Record<string, unknown> = {}) {
    return {
        name: "route",
        host: "a.example",
        pathPrefix: "/",
        isIdempotent: true,
        timeoutMs: 2_000,
        objectiveMs: 250,
        priority: 0,
        parts: [{ service: "svc", weight: 1 }],
        maxAttempts: 2,
        isPublic: false,
        isSticky: true,
        regions: [],
        ...opts,
    };
}
