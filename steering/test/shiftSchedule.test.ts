import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { ShiftSchedule } from "../src/index.js";

const CAP = { capShare: 0.1, intervalMs: 1_000 };
const PARTS = [["zone", "perth-a"], ["region", "perth"], ["target", "target-0"], ["region", "albany"]] as const;
const TARGETS = [0, 1, 2, 3].map(index => ({
    id: `target-${index}`,
    service: "catalogue",
    availabilityZone: ["perth-a", "perth-a", "perth-b", "albany-a"][index] as string,
    region: ["perth", "perth", "perth", "albany"][index] as string,
    slots: 4,
}));
const HOSTS = 3;
const PEER = { hostId: "peer", incarnation: "1", availabilityZone: "perth-a", region: "perth" };

const step = fc.oneof(
    { weight: 6, arbitrary: fc.record({ kind: fc.constant("wait" as const), value: fc.nat({ max: 150 }) }) },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant("pause" as const), value: fc.nat({ max: 5_000 }) }) },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant("plan" as const), value: fc.nat({ max: 15 }) }) },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant("replace" as const), value: fc.nat({ max: HOSTS - 1 }) }) },
);

test("the moved share stays under the cap when shifts overlap, plans change and hosts are paused or replaced", () => {
    let wasFullyMoved = false;
    fc.assert(
        fc.property(fc.array(step, { minLength: 300, maxLength: 600, size: "max" }), steps => {
            let now = 0;
            // A paused host serves no traffic, so what it moves at once when it resumes counts from before the pause.
            let servedMs = 0;
            let drains: Map<string, { scope: "zone" | "region" | "target"; name: string; startedAt: number; }> =
                new Map();
            const create = () => new ShiftSchedule({ cap: () => CAP, now: () => now, wallNow: () => now });
            const hosts = Array.from({ length: HOSTS }, create);
            const history: { readonly at: number; readonly shares: number[]; }[] = [];
            for (const { kind, value } of steps) {
                if (kind === "wait" || kind === "pause") {
                    now += value;
                    servedMs += Math.min(value, 200);
                }
                else if (kind === "plan") {
                    const wanted = PARTS.filter((_, i) => (value >> i & 1) === 1);
                    drains = new Map(wanted.map(([scope, name]) => {
                        const startedAt = drains.get(`${scope}:${name}`)?.startedAt ?? now;
                        return [`${scope}:${name}`, { scope, name, startedAt }];
                    }));
                    hosts.forEach(host => host.applyPlan({ drains: [...drains.values()] }));
                }
                else {
                    const replaced = hosts[value] = create();
                    replaced.applyPlan({ drains: [...drains.values()] });
                    hosts.filter(host => host !== replaced).forEach(host => replaced.receive(PEER, host.payload()));
                }
                hosts.forEach(host => host.tick());
                // All targets have equal shares of the traffic, and so do all hosts.
                const shares = TARGETS.map(target => {
                    return hosts.reduce((sum, host) => sum + host.shareOf(target), 0) / HOSTS;
                });
                wasFullyMoved ||= shares.includes(0);
                history.push({ at: servedMs, shares });
                const before = history.findLast(({ at }) => at <= servedMs - CAP.intervalMs) ?? history[0];
                const since = history.filter(({ at }) => at >= (before?.at ?? 0));
                const moved = TARGETS.map((_, i) => {
                    const values = since.map(entry => entry.shares[i] as number);
                    return (Math.max(...values) - Math.min(...values)) / TARGETS.length;
                }).reduce((sum, part) => sum + part, 0);
                const spanMs = servedMs - (before?.at ?? 0);
                const allowed = CAP.capShare * Math.max(1, spanMs / CAP.intervalMs);
                assert.ok(moved <= allowed + 1e-9, `moved ${moved} of ${allowed} within ${spanMs} ms`);
            }
        }),
        { numRuns: Number(process.env["RUNS"] ?? 100), seed: Number(process.env["SEED"] ?? 1), endOnFailure: true },
    );
    assert.ok(wasFullyMoved, "no run moves all traffic of a target");
});

test("a drain reports its progress and the time left", () => {
    let now = 0;
    const schedule = new ShiftSchedule({ cap: () => CAP, now: () => now, wallNow: () => now });
    now = 60_000;
    schedule.applyPlan({ drains: [{ scope: "zone", name: "perth-a", startedAt: now }] });
    for (; now < 64_000; now += 50) {
        schedule.tick();
    }
    schedule.tick();
    const [progress] = schedule.progress();
    assert.ok(Math.abs((progress?.share ?? 0) - 0.6) < 0.01, `share ${progress?.share}`);
    assert.ok(Math.abs((progress?.timeLeftMs ?? 0) - 6_000) < 100, `time left ${progress?.timeLeftMs} ms`);
});
