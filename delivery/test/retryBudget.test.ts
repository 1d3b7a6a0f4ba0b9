import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { RetryBudget } from "../src/retryBudget.js";

const PER_SECOND = 3;
const WINDOW_MS = 10_000;
const BUDGET = PER_SECOND * WINDOW_MS / 1_000;

function createBudget(startMs: number) {
    const clock = { now: startMs };
    const budget = new RetryBudget({ now: () => clock.now, minPerSecond: PER_SECOND });
    const takeAll = () => {
        let taken = 0;
        while (budget.tryTake()) {
            taken++;
        }
        return taken;
    };
    return { clock, takeAll };
}

describe("retry budget", () => {
    it("holds in each window of 10 s, also in one that starts late in a second, where twice the budget passed", () => {
        const { clock, takeAll } = createBudget(900);
        assert.equal(takeAll(), BUDGET);
        clock.now += WINDOW_MS - 1;
        assert.equal(takeAll(), 0);
    });

    it("is whole again a second after the window at the latest", () => {
        const { clock, takeAll } = createBudget(0);
        takeAll();
        clock.now += WINDOW_MS + 1_000;
        assert.equal(takeAll(), BUDGET);
    });
});
