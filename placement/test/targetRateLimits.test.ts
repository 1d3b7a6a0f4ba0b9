import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { targetKey } from "../src/targetKey.js";
import { newHost, newRequest, newTarget } from "./fixtures.js";
import { simulateLimitedTarget } from "./simulateLimitedTarget.js";

/** Fleets with their report intervals and the time that reports take through relays, in ms. */
const FLEETS = [
    { hosts: 3, reportMs: 180, delayMs: 50 },
    { hosts: 10, reportMs: 240, delayMs: 240 },
    { hosts: 82, reportMs: 300, delayMs: 650 },
    { hosts: 195, reportMs: 450, delayMs: 900 },
];

/** What the users tolerate within 4 s: one and a half times the limit and five requests. */
function tolerated(limit: number): number {
    return limit * 4 * 1.5 + 5;
}

describe("requests of all hosts to a target that states a limit", () => {
    for (const fleet of FLEETS) {
        for (const limit of [0.5, 1, 5, 20]) {
            it(`stay below what a limit of ${limit}/s tolerates on ${fleet.hosts} hosts, at any demand`, () => {
                for (const demand of [limit, limit * 4, 60]) {
                    for (const seed of [1, 2, 3]) {
                        const { most } = simulateLimitedTarget({ ...fleet, limit, demand, seed: seed * 7_919 });
                        assert.ok(
                            most <= tolerated(limit),
                            `${most} requests at a demand of ${demand}/s, seed ${seed}`,
                        );
                    }
                }
            });
        }
    }

    for (const fleet of FLEETS.slice(0, 3)) {
        it(`use at least 80 % of a limit of 5/s on ${fleet.hosts} hosts, as callers would be refused for nothing`, () => {
            for (const demand of [7.5, 20, 60]) {
                const { steadyRate } = simulateLimitedTarget({ ...fleet, limit: 5, demand });
                assert.ok(steadyRate >= 0.8 * 5, `${steadyRate}/s at a demand of ${demand}/s`);
            }
        });
    }

    it("follow a limit that changes", () => {
        const outcomes = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10].map(seed =>
            simulateLimitedTarget({ ...FLEETS[1]!, limit: 20, laterLimit: 2, demand: 60, seed: seed * 7_919 })
        );
        const most = Math.max(...outcomes.map(outcome => outcome.most));
        assert.ok(most <= tolerated(20), String(most));
        const meanRate = outcomes.reduce((sum, { steadyRate }) => sum + steadyRate / outcomes.length, 0);
        assert.ok(meanRate <= 2 && meanRate >= 0.8 * 2, `${meanRate}/s`);
    });

    it("stay below the limit on hosts that are cut off from each other", () => {
        const { most } = simulateLimitedTarget({ ...FLEETS[1]!, limit: 5, demand: 60, isPartitioned: true });
        assert.ok(most <= tolerated(5), String(most));
    });
});

describe("Placement with a limited target", () => {
    function newLimitedHost() {
        const clock = { now: 0 };
        const targets = ["t", "u"].map(id => newTarget(id));
        const host = newHost({ clock, targets });
        const chooseMany = (count: number) =>
            Array.from({ length: count }, () => {
                clock.now += 10;
                return host.placement.choose(newRequest(clock, { objectiveMs: 250 }));
            });
        return { clock, targets, chooseMany, ...host };
    }

    it("sends what exceeds the limit to the next target of the object instead of refusing it", () => {
        const { targets, rateLimits, chooseMany } = newLimitedHost();
        const [first] = chooseMany(1);
        assert.ok(first !== undefined && "target" in first);
        rateLimits.set(targetKey(first.target), 5);
        const chosen = chooseMany(300).map(choice => "target" in choice ? choice.target.id : "refused");
        const atLimited = chosen.filter(id => id === first.target.id).length;
        assert.ok(atLimited >= 0.8 * 15 && atLimited <= 15 + 6, `${atLimited} in 3 s`);
        assert.equal(chosen.filter(id => id === "refused").length, 0);
        assert.equal(targets.length, 2);
    });

    it("refuses at once, with the time until a target accepts a request, if all targets are at their limits", () => {
        const { targets, rateLimits, chooseMany } = newLimitedHost();
        targets.forEach(target => rateLimits.set(targetKey(target), 0.5));
        const refused = chooseMany(100).at(-1);
        assert.ok(refused !== undefined && "refusal" in refused);
        assert.ok(refused.retryAfterMs >= 1_000, `${refused.retryAfterMs} ms`);
    });

    it("does not take tokens when it only checks whether a target could be chosen", () => {
        const { clock, targets, rateLimits, placement } = newLimitedHost();
        rateLimits.set(targetKey(targets[0]!), 1);
        rateLimits.set(targetKey(targets[1]!), 1);
        for (let i = 0; i < 20; i++) {
            placement.canChoose(newRequest(clock));
        }
        assert.ok("target" in placement.choose(newRequest(clock)));
    });

    it("has no limit for another incarnation of the target, which has stated none", () => {
        const { rateLimits } = newLimitedHost();
        rateLimits.set(targetKey(newTarget("t")), 0);
        const restarted = newTarget("t", { incarnation: 2 });
        assert.ok(Array.from({ length: 50 }, () => rateLimits.tryTake(restarted)).every(isTaken => isTaken));
    });
});
