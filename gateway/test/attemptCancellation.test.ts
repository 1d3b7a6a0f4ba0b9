import assert from "node:assert/strict";
import { it } from "node:test";
import { AttemptCancellation } from "../src/attemptCancellation.js";

it("cancels an attempt whose caller disconnected before it started", () => {
    const opts = { deadlineMs: 1_000, slowMs: Infinity, shouldFailOver: () => false };
    const cancellation = new AttemptCancellation({ ...opts, signal: AbortSignal.abort() });
    cancellation.dispose();
    assert.equal(cancellation.cancelledBy, "caller");
    assert.equal(cancellation.signal.aborted, true);
});
