import assert from "node:assert/strict";
import { it } from "node:test";
import { AttemptCancellation } from "../src/attemptCancellation.js";

it("guards against an attempt for a caller that left before it began", () => {
    const opts = { deadlineMs: 1_000, slowMs: Infinity, mayMoveOn: () => false };
    const limit = new AttemptCancellation({ ...opts, signal: AbortSignal.abort() });
    limit.end();
    assert.equal(limit.cancelledBy, "caller");
    assert.equal(limit.signal.aborted, true);
});
