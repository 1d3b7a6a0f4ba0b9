import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { CallerWaitEstimator } from "../src/callerWaitEstimator.js";

describe("CallerWaitEstimator", () => {
    it("returns the difference between the route's most frequent deadline and the caller's", () => {
        const estimator = new CallerWaitEstimator();
        [2_000, 2_000, 2_000].forEach(deadlineMs => assert.equal(estimator.waitedMs("r", deadlineMs), 0));
        assert.equal(estimator.waitedMs("r", 1_400), 600);
        assert.equal(estimator.waitedMs("other", 1_400), 0);
    });

    it("ignores a single caller with a long deadline, which would make all others seem late", () => {
        const estimator = new CallerWaitEstimator();
        [2_000, 2_000, 60_000, 2_000].forEach(deadlineMs => assert.equal(estimator.waitedMs("r", deadlineMs), 0));
    });

    it("bounds the number of counted deadlines and keeps the most frequent one", () => {
        const estimator = new CallerWaitEstimator();
        for (let i = 0; i < 10; i++) {
            estimator.waitedMs("r", 2_000);
        }
        for (let i = 0; i < 1_000; i++) {
            estimator.waitedMs("r", 500 + i);
        }
        assert.equal(estimator.waitedMs("r", 1_000), 1_000);
    });
});
