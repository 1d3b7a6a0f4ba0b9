import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { CallerWaitEstimator } from "../src/callerWaitEstimator.js";

describe("time that callers have spent on earlier attempts", () => {
    it("is what their deadline lacks to the usual one", () => {
        const waits = new CallerWaitEstimator();
        [2_000, 2_000, 2_000].forEach(deadlineMs => assert.equal(waits.waitedMs("r", deadlineMs), 0));
        assert.equal(waits.waitedMs("r", 1_400), 600);
        assert.equal(waits.waitedMs("other", 1_400), 0);
    });

    it("guards against one caller with a long deadline making all others seem late", () => {
        const waits = new CallerWaitEstimator();
        [2_000, 2_000, 60_000, 2_000].forEach(deadlineMs => assert.equal(waits.waitedMs("r", deadlineMs), 0));
    });

    it("guards against memory that grows with each different deadline", () => {
        const waits = new CallerWaitEstimator();
        for (let i = 0; i < 10; i++) {
            waits.waitedMs("r", 2_000);
        }
        for (let i = 0; i < 1_000; i++) {
            waits.waitedMs("r", 500 + i);
        }
        assert.equal(waits.waitedMs("r", 1_000), 1_000);
    });
});
