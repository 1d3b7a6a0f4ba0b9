import assert from "node:assert/strict";
import { test } from "node:test";
import { runPeriodically } from "../src/runPeriodically.js";

test("a periodic task goes on after an error, which would otherwise end the process, and reports it", async () => {
    const stop = new AbortController();
    const errors: unknown[] = [];
    let runs = 0;
    const action = () => {
        runs++;
        if (runs === 1) {
            throw new TypeError("unexpected");
        }
        if (runs === 3) {
            stop.abort();
        }
    };
    await runPeriodically(action, {
        intervalMs: () => 1,
        signal: stop.signal,
        onError: cause => errors.push(cause),
    });
    assert.equal(runs, 3);
    assert.equal(errors.length, 1);
});
