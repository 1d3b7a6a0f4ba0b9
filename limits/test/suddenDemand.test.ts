import assert from "node:assert/strict";
import { test } from "node:test";
import { simulateFleetLimit } from "./simulateFleetLimit.js";

test("the limit of a large workspace holds when its demand rises to 7.5 times the usual on 195 hosts", () => {
    const rate = 150;
    const usualPerSecond = rate / 1.6;
    const { mostAdmitted, mostTolerated } = simulateFleetLimit({
        hosts: 195,
        reportMs: 270,
        delayMs: 650,
        rate,
        demandPerSecond: 7.5 * usualPerSecond,
    });
    assert.ok(mostAdmitted <= mostTolerated, `${mostAdmitted} of ${mostTolerated}`);
});
