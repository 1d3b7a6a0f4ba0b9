import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { DesiredState } from "../src/desiredState.js";
import type { Route } from "../src/route.js";
import { routeKey } from "../src/routeKey.js";
import { TrafficSplitter } from "../src/trafficSplitter.js";
import { routeContent, stateContent } from "./stateContent.js";

describe("desired state", () => {
    it("selects the route of the host name with the longest matching prefix", () => {
        const state = DesiredState.fromContent(stateContent({
            routes: [
                routeContent({ name: "all" }),
                routeContent({ name: "deep", pathPrefix: "/a/b/" }),
                routeContent({ name: "mid", pathPrefix: "/a/" }),
                routeContent({ name: "other", host: "b.example", pathPrefix: "/a/b/c/" }),
            ],
        }))._unsafeUnwrap();
        assert.equal(state.findRoute("a.example", "/a/b/c/d")?.name, "deep");
        assert.equal(state.findRoute("a.example", "/a/x")?.name, "mid");
        assert.equal(state.findRoute("a.example", "/x")?.name, "all");
        assert.equal(state.findRoute("c.example", "/a/")?.name, undefined);
    });

    it("rejects an undefined service, parts without weight and a key of two workspaces", () => {
        const workspace = { ratePerSecond: 0, burst: 0, regions: [] };
        for (
            const content of [
                stateContent({ services: [] }),
                stateContent({ routes: [routeContent({ parts: [{ service: "svc", weight: 0 }] })] }),
                stateContent({
                    workspaces: [{ name: "a", keys: ["k"], ...workspace }, { name: "b", keys: ["k"], ...workspace }],
                }),
            ]
        ) {
            assert.equal(DesiredState.fromContent(content)._unsafeUnwrapErr().code, "documentDamaged");
        }
    });

    it("distributes requests close to the weights over as few as 20 requests", () => {
        const parts = [{ service: "svc", weight: 7 }, { service: "svc-b", weight: 3 }];
        const state = DesiredState.fromContent(stateContent({
            routes: [routeContent({ parts })],
            services: ["svc", "svc-b"].map(name => ({ name, maxConnections: 1, coldStartMs: 0, coldPerSecond: 0 })),
        }))._unsafeUnwrap();
        const route = state.findRoute("a.example", "/")!;
        const splitter = new TrafficSplitter();
        const chosen = Array.from({ length: 20 }, () => splitter.chooseService(route));
        assert.ok(Math.abs(chosen.filter(service => service === "svc-b").length - 6) <= 1);
    });

    it("splits routes of two hosts that share a name apart, whose requests ran at each other's services", () => {
        const state = splitState({ "a.example": ["svc", "svc-b"], "b.example": ["svc-c", "svc-d"] });
        const splitter = new TrafficSplitter();
        const servicesOf = (host: string) => servicesChosen(splitter, state.findRoute(host, "/")!);
        assert.deepEqual(servicesOf("a.example"), ["svc", "svc-b"]);
        assert.deepEqual(servicesOf("b.example"), ["svc-c", "svc-d"]);
    });

    it("splits a route by its own version, also if a request of the version before comes late", () => {
        const [before, after] = [["svc", "svc-b"], ["svc-c", "svc-d"]].map(services =>
            splitState({ "a.example": services }).findRoute("a.example", "/")!
        );
        const splitter = new TrafficSplitter();
        assert.deepEqual(servicesChosen(splitter, after!), ["svc-c", "svc-d"]);
        assert.deepEqual(servicesChosen(splitter, before!), ["svc", "svc-b"]);
        assert.deepEqual(servicesChosen(splitter, after!), ["svc-c", "svc-d"]);
    });

    it("gives routes of two hosts and nested prefixes different keys, whatever their names are", () => {
        const routes = [["a.example", "/"], ["b.example", "/"], ["a.example", "/b/"], ["a.example", "/b/c/"]] as const;
        const keys = routes.map(([host, pathPrefix]) => routeKey({ host, pathPrefix }));
        assert.equal(new Set(keys).size, routes.length);
    });
});

/** A state in which each host splits all of its paths evenly over its services, by routes that share a name. */
function splitState(servicesByHost: Readonly<Record<string, readonly string[]>>): DesiredState {
    const routes = Object.entries(servicesByHost).map(([host, services]) =>
        routeContent({ host, parts: services.map(service => ({ service, weight: 1 })) })
    );
    const services = Object.values(servicesByHost).flat().map(name => ({
        name,
        maxConnections: 1,
        coldStartMs: 0,
        coldPerSecond: 0,
    }));
    return DesiredState.fromContent(stateContent({ routes, services }))._unsafeUnwrap();
}

/** The services that get some of ten requests of the route, in order of their names. */
function servicesChosen(splitter: TrafficSplitter, route: Route): string[] {
    const chosen = Array.from({ length: 10 }, () => splitter.chooseService(route));
    return [...new Set(chosen)].toSorted();
}
