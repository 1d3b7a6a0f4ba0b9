import assert from "node:assert/strict";
import { it } from "node:test";
import { AttemptLimit } from "../src/attemptLimit.js";

it("guards against an attempt for a caller that left before it began", () => {
    const opts = { deadlineMs: 1_000, slowMs: Infinity, mayMoveOn: () => false };
    const limit = new AttemptLimit({ ...opts, signal: AbortSignal.abort() });
    limit.end();
    assert.equal(limit.stoppedBy, "caller");
    assert.equal(limit.signal.aborted, true);
});
