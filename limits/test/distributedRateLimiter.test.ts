import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { VirtualFleet } from "./virtualFleet.js";

const RATE = 100;
const BURST = 10;
const ROUNDING_TOLERANCE = 1e-6;

/** Largest excess over `burst + rate * t` in any window of t seconds, computed as a leaky bucket's overflow. */
function maxExcess(times: readonly number[]): number {
    let level = 0;
    return Math.max(
        0,
        ...times.map((time, index) => {
            level = Math.max(0, level - (time - (times[index - 1] ?? time)) * RATE / 1_000) + 1;
            return Math.max(0, level - BURST - ROUNDING_TOLERANCE);
        }),
    );
}

const STEP_MS = 10;
const actions = {
    none: () => undefined,
    partition: (fleet: VirtualFleet, _: number, steps: number) => fleet.partitionedUntil = fleet.time + steps * STEP_MS,
    pause: (fleet: VirtualFleet, host: number, steps: number) =>
        Object.assign(fleet.hosts[host] ?? {}, { pausedUntil: fleet.time + steps * STEP_MS }),
    restart: (fleet: VirtualFleet, host: number) => fleet.restart(host),
    roster: (fleet: VirtualFleet) => fleet.changeRoster(),
    stale: ({ views }: VirtualFleet, host: number) =>
        Object.assign(views[host] ?? {}, { isFresh: !views[host]?.isFresh }),
};
const action = fc.record({
    kind: fc.constantFrom(...["none", "none", "partition", "pause", "restart", "roster", "stale"] as const),
    host: fc.nat(3),
    steps: fc.integer({ min: 1, max: 300 }),
    /** Requests per step, by host. */
    traffic: fc.array(fc.constantFrom<number>(0, 0, 0.1, 0.5, 2), { minLength: 4, maxLength: 4 }),
});
type Action = typeof action extends fc.Arbitrary<infer T> ? T : never;
const network = fc.record({
    loss: fc.constantFrom(0, 0.05, 0.5),
    duplicates: fc.constantFrom(0, 0.3),
    maxDelayMs: fc.constantFrom(5, 60, 400, 3_000),
});

function run(fleet: VirtualFleet, { kind, host, steps, traffic }: Action): void {
    actions[kind](fleet, host, steps);
    for (let step = 0; step < steps; step++) {
        traffic.forEach((perStep, index) => {
            const count = Math.floor((step + 1) * perStep) - Math.floor(step * perStep);
            Array.from({ length: count }, () => fleet.request(index));
        });
        fleet.step();
        const { rate, capacity } = fleet.effectiveLimit();
        assert.ok(rate <= RATE + ROUNDING_TOLERANCE, `rate ${rate}`);
        assert.ok(capacity <= BURST + ROUNDING_TOLERANCE, `capacity ${capacity}`);
    }
}

const WARM_UP: Action = { kind: "none", host: 0, steps: 300, traffic: [0, 0, 0, 0] };

/** Found with seed -1328173475: a restarted process took the late reply to its predecessor's request for its own. */
const REPLY_TO_PREDECESSOR: [{ loss: number; duplicates: number; maxDelayMs: number; }, Action[], number] = [
    { loss: 0, duplicates: 0, maxDelayMs: 3_000 },
    [
        { kind: "none", host: 0, steps: 125, traffic: [0, 0.5, 0, 0.1] },
        { kind: "restart", host: 3, steps: 1, traffic: [0, 0, 0, 0] },
        { kind: "none", host: 0, steps: 27, traffic: [2, 0, 0.5, 0.5] },
    ],
    1_944_960_576,
];

// Guards against rate or tokens that are counted twice after late, lost, duplicated or reordered messages, crashes,
// restarts, pauses beyond a loan's end, stale views or roster changes.
test("no window admits more requests than burst and rate allow", () => {
    fc.assert(
        fc.property(network, fc.array(action, { maxLength: 40 }), fc.nat(), (faults, steps, seed) => {
            const fleet = new VirtualFleet(faults, seed);
            [WARM_UP, ...steps].forEach(step => run(fleet, step));
            assert.equal(maxExcess(fleet.admittedAt), 0);
        }),
        {
            numRuns: Number(process.env["RUNS"] ?? 200),
            seed: Number(process.env["SEED"] ?? 1),
            examples: [REPLY_TO_PREDECESSOR],
        },
    );
});

// Guards against shares that remain with idle hosts.
test("a host that receives all requests of a workspace can use its whole rate", () => {
    const fleet = new VirtualFleet({ loss: 0, duplicates: 0, maxDelayMs: 40 }, 1);
    run(fleet, WARM_UP);
    run(fleet, { ...WARM_UP, steps: 3_000, traffic: [0.8, 0, 0, 0] });
    assert.ok(fleet.admittedAt.length >= 2_398, `admitted ${fleet.admittedAt.length} of 2400`);
});
