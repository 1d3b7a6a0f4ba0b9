import { ReplicatedLimits } from "@pistachioreel/limits";
import { seededRandom } from "../../limits/test/seededRandom.js";
import { targetKey } from "../src/targetKey.js";
import { TargetRateLimits } from "../src/targetRateLimits.js";
import { newTarget } from "./fixtures.js";

interface Scenario {
    readonly hosts: number;
    /** Requests per second that the target states to accept. */
    readonly limit: number;
    /** Requests per second, over all hosts, for which the target is the best choice. */
    readonly demand: number;
    /** Interval between the reports of a host, in ms. */
    readonly reportMs: number;
    /** Time that a report takes to the other hosts, in ms. */
    readonly delayMs: number;
    /** Limit that the target states from 10 s on; by default it does not change. */
    readonly laterLimit?: number;
    /** Whether the hosts do not receive each other's reports. */
    readonly isPartitioned?: boolean;
    readonly seed?: number;
}

interface Outcome {
    /** Most requests in any window of 4 s, from hosts that have had the statement for half a second. */
    readonly most: number;
    /** Requests per second at the target in the last 8 s. */
    readonly steadyRate: number;
    /** Requests per second in the first 4 s after the statement. */
    readonly firstRate: number;
}

const STEP_MS = 10;
const LIMIT_AT_MS = 4_000;
const LATER_LIMIT_AT_MS = 10_000;
const END_MS = 24_000;
const RESPONSE_MS = 150;
const NOTICE_MS = 500;
const WINDOW_MS = 4_000;

/**
 * Requests that hosts send to one target, which states a limit from 4 s on. A host learns of it with the first response
 * to a request that it has sent after that.
 */
export function simulateLimitedTarget(scenario: Scenario): Outcome {
    const { hosts, limit, demand, reportMs, delayMs, isPartitioned = false, laterLimit = limit, seed = 5 } = scenario;
    const clock = { now: 0 };
    const random = seededRandom(seed);
    const target = newTarget("t");
    const fleet = Array.from({ length: hosts }, () => {
        const linked = isPartitioned ? 1 : hosts;
        const limits = new ReplicatedLimits({
            hosts: () => ({ linked, total: hosts }),
            now: () => clock.now,
            random,
        });
        const rateLimits = new TargetRateLimits({ limits, hostCount: () => hosts, now: () => clock.now, random });
        return { limits, rateLimits, reported: new Map<string, readonly [number, number]>(), learnsAt: Infinity };
    });
    const underway: { from: number; increases: Map<string, readonly [number, number]>; arrivesAt: number; }[] = [];
    const sends: { at: number; isInformed: boolean; }[] = [];
    for (; clock.now < END_MS; clock.now += STEP_MS) {
        const stated = clock.now < LIMIT_AT_MS ? undefined : clock.now < LATER_LIMIT_AT_MS ? limit : laterLimit;
        fleet.filter(({ learnsAt }) => learnsAt <= clock.now).forEach(host => {
            host.rateLimits.set(targetKey(target), stated);
        });
        const arriving = poisson(demand * STEP_MS / 1_000, random);
        for (let i = 0; i < arriving; i++) {
            const host = fleet[Math.floor(random() * hosts)]!;
            if (host.rateLimits.tryTake(target)) {
                sends.push({ at: clock.now, isInformed: host.learnsAt + NOTICE_MS <= clock.now });
                host.learnsAt = Math.min(host.learnsAt, stated === undefined ? Infinity : clock.now + RESPONSE_MS);
            }
        }
        fleet.forEach(({ limits, reported }, from) => {
            if ((clock.now + from * 37) % reportMs < STEP_MS && !isPartitioned) {
                const increases = new Map<string, readonly [number, number]>();
                for (const [name, use] of Object.entries(limits.usage())) {
                    const before = reported.get(name) ?? [0, 0];
                    reported.set(name, use);
                    increases.set(name, [use[0] - before[0], use[1] - before[1]]);
                }
                underway.push({ from, increases, arrivesAt: clock.now + delayMs });
            }
        });
        while (underway[0] !== undefined && underway[0].arrivesAt <= clock.now) {
            const { from, increases } = underway.shift()!;
            fleet.forEach(({ limits }, index) => index === from || limits.recordOthersUsage(increases));
        }
    }
    const informed = sends.filter(({ isInformed }) => isInformed).map(({ at }) => at);
    const countBetween = (from: number, until: number) => sends.filter(({ at }) => at >= from && at < until).length;
    return {
        most: Math.max(0, ...informed.map(from => informed.filter(at => at >= from && at < from + WINDOW_MS).length)),
        steadyRate: countBetween(END_MS - 8_000, END_MS) / 8,
        firstRate: countBetween(LIMIT_AT_MS, LIMIT_AT_MS + WINDOW_MS) / 4,
    };
}

/** Number of events in an interval with this mean. */
function poisson(mean: number, random: () => number): number {
    let count = 0;
    for (let product = random(); product > Math.exp(-mean); product *= random()) {
        count++;
    }
    return count;
}
