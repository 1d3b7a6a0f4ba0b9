import assert from "node:assert/strict";
import { test } from "node:test";
import { planSchema } from "../src/index.js";

test("a plan with a misspelt field or an unknown scope is refused", () => {
    const drain = { scope: "zone", name: "perth-a", startedAt: 1_000 };
    assert.ok(planSchema.safeParse({ drains: [drain, { ...drain, finishBy: 2_000 }] }).success);
    assert.ok(!planSchema.safeParse({ drains: [{ ...drain, finishedBy: 2_000 }] }).success);
    assert.ok(!planSchema.safeParse({ drains: [{ ...drain, scope: "rack" }] }).success);
});
