import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { DesiredState } from "../src/desiredState.js";
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
});
