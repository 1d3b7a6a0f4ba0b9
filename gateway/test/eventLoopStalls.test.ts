import assert from "node:assert/strict";
import { describe, it, mock } from "node:test";
import { EventLoopStalls } from "../src/eventLoopStalls.js";

/** Stalls with a clock and timers of the test. */
function newStalls() {
    mock.timers.enable({ apis: ["setInterval"] });
    const clock = { nowMs: 0 };
    const stalls = new EventLoopStalls({ now: () => clock.nowMs });
    const run = (ms: number) => {
        for (let at = 0; at < ms; at += 50) {
            clock.nowMs += 50;
            mock.timers.tick(50);
        }
    };
    return { clock, stalls, run };
}

describe("stalls of the event loop", () => {
    it("are none while the process runs, so that a stop has all of its time", () => {
        const { clock, stalls, run } = newStalls();
        run(2_000);
        assert.equal(stalls.earliestArrivalAt, clock.nowMs);
        mock.timers.reset();
    });

    it("date a signal back that is handled before or after the first timer that is late", () => {
        const { clock, stalls, run } = newStalls();
        run(2_000);
        clock.nowMs += 3_000;
        assert.equal(stalls.earliestArrivalAt, 2_000);
        mock.timers.tick(250);
        assert.equal(stalls.earliestArrivalAt, 2_000);
        run(500);
        assert.equal(stalls.earliestArrivalAt, clock.nowMs);
        mock.timers.reset();
    });
});
