import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { TargetLoads } from "../src/targetLoads.js";

describe("loads of targets", () => {
    it("count requests of other hosts once, and not after their counts have expired", () => {
        const clock = { now: 0 };
        const loads = new TargetLoads({ now: () => clock.now });
        loads.setPeerCounts("h1", new Map([["a", 2], ["b", 1]]));
        clock.now = 1_000;
        loads.setPeerCounts("h2", new Map([["a", 3]]));
        loads.start("a");
        assert.equal(loads.loadOf("a"), 6);
        loads.setPeerCounts("h1", new Map([["a", 1]]));
        assert.deepEqual([loads.loadOf("a"), loads.loadOf("b")], [5, 0]);
        clock.now = 2_501;
        assert.equal(loads.loadOf("a"), 1);
        loads.setPeerCounts("h2", new Map([["a", 4]]));
        assert.equal(loads.loadOf("a"), 5);
    });
});
