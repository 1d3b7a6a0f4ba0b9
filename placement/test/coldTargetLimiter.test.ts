import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { newHost, newRequest, newTarget } from "./fixtures.js";

const COLD_LIMIT = 18.8;

function sentInOneSecond(hostCount: number): number {
    const clock = { now: 0 };
    const hostIds = Array.from({ length: hostCount }, (_, index) => `h${index}`);
    const cold = newTarget("cold", { coldMs: 10_000 });
    const hosts = hostIds.map(hostId => newHost({ clock, targets: [cold], hostId, hostIds, coldLimit: COLD_LIMIT }));
    const sentAt: number[] = [];
    for (; clock.now < 5_000; clock.now += 10) {
        for (const host of hosts) {
            const choice = host.placement.choose(newRequest(clock));
            if ("target" in choice) {
                host.cold.recordSent(choice.target);
                sentAt.push(clock.now);
            }
        }
    }
    return Math.max(...sentAt.map(start => sentAt.filter(at => at >= start && at < start + 1_000).length));
}

describe("cold targets", () => {
    for (const hostCount of [1, 10, 82]) {
        it(`get at most the limit per second from ${hostCount} hosts together`, () => {
            const most = sentInOneSecond(hostCount);
            assert.ok(most > 0 && most <= COLD_LIMIT, `${most} in one second`);
        });
    }

    it("include a target that was unreachable, as it may have restarted without having reported so", () => {
        const clock = { now: 0 };
        const target = newTarget("t");
        const host = newHost({ clock, targets: [target], coldLimit: COLD_LIMIT });
        host.health.recordUnreachable(target);
        clock.now = 4_000;
        const choices = Array.from({ length: 20 }, () => {
            const choice = host.placement.choose(newRequest(clock));
            if ("target" in choice) {
                host.cold.recordSent(choice.target);
            }
            return "target" in choice;
        });
        assert.equal(choices.filter(Boolean).length, 1);
    });
});
