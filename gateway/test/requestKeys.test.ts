import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { routeContent } from "../../desired-state/test/stateContent.js";
import { objectKey } from "../src/objectKey.js";
import { requestDigest } from "../src/requestDigest.js";

const HOSTS = ["a.example", "b.example"] as const;

describe("keys of what belongs to a request", () => {
    it("tell objects of two hosts apart whose routes share a name, or one would count as warm for the other", () => {
        const [a, b] = HOSTS.map(host => objectKey({ object: "17" }, routeContent({ host })));
        assert.notEqual(a, b);
    });

    it("tell objects apart whose route and name join to the same text", () => {
        const outer = objectKey({ object: "b/:c" }, routeContent({ pathPrefix: "/a/" }));
        const inner = objectKey({ object: "c" }, routeContent({ pathPrefix: "/a/:b/" }));
        assert.notEqual(outer, inner);
    });

    it("are missing for objects of routes that are not sticky", () => {
        assert.equal(objectKey({ object: "17" }, routeContent({ isSticky: false })), undefined);
        assert.equal(objectKey({ object: undefined }, routeContent()), undefined);
    });

    it("tell the same request of two hosts apart, or a crash of the one's targets would stop the other", () => {
        const [a, b] = HOSTS.map(host =>
            requestDigest({
                method: "GET",
                url: "/x",
                body: undefined,
                workspace: undefined,
                route: routeContent({ host }),
            })
        );
        assert.notEqual(a, b);
    });
});
