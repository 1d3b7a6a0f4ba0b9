import assert from "node:assert/strict";
import { test } from "node:test";
import { type LoadReport, NearestLeastLoaded, type SlotOutcome, SlotUsage, TargetStatistics } from "../src/index.js";

const SLOTS = 4;

function target(index: number, availabilityZone = "perth-a", region = "perth") {
    return { id: `target-${index}`, service: "catalogue", availabilityZone, region, slots: SLOTS };
}

type Target = ReturnType<typeof target>;

function createHost() {
    const clock = { now: 10_000 };
    const now = () => clock.now;
    const slots = new SlotUsage();
    const statistics = new TargetStatistics({ slots, now, random: () => 0.5 });
    const chooser = new NearestLeastLoaded({ availabilityZone: "perth-a", region: "perth", statistics });
    const report = (to: Target, changes: Partial<LoadReport>) => {
        const full: LoadReport = { slots: SLOTS, running: 0, state: "serving", ...changes };
        statistics.recordReport(to, full, clock.now++, statistics.knownRunningOn(to.id));
    };
    const end = (of: Target, outcome: SlotOutcome["end"], latencyMs = 20, times = 1) => {
        for (let i = 0; i < times; i++) {
            clock.now += latencyMs;
            statistics.recordOutcome(of, { end: outcome, latencyMs });
        }
    };
    /** Returns the share of choices of each target while no request is running. */
    const shares = (candidates: readonly Target[]) => {
        const counts = new Map<string | undefined, number>();
        for (let i = 0; i < 1_000; i++) {
            const id = chooser.choose(candidates)?.id;
            counts.set(id, (counts.get(id) ?? 0) + 1);
        }
        return (of: Target | undefined) => (counts.get(of?.id) ?? 0) / 1_000;
    };
    return { clock, slots, statistics, chooser, report, end, shares };
}

test("hosts that hold the same stale report do not all choose the same target", () => {
    const candidates = Array.from({ length: 12 }, (_, i) => target(i));
    let idleChoices = 0;
    for (let host = 0; host < 10; host++) {
        const { chooser, slots, report } = createHost();
        candidates.forEach((candidate, i) => report(candidate, { running: i === 0 ? 0 : 3 }));
        for (let i = 0; i < 4; i++) {
            const chosen = chooser.choose(candidates) as Target;
            slots.acquire(chosen.id);
            idleChoices += chosen.id === "target-0" ? 1 : 0;
        }
    }
    assert.ok(idleChoices <= 16, `${idleChoices} of 40 requests for a target with 4 slots`);
});

test("a target that peers have filled gets no request until their counts expire", () => {
    const { clock, statistics, chooser } = createHost();
    statistics.peers.record("host-2", new Map([["target-0", SLOTS]]), clock.now);
    assert.equal(chooser.choose([target(0)]), undefined);
    statistics.peers.record("host-2", new Map([["target-0", SLOTS - 1]]), clock.now);
    assert.equal(chooser.choose([target(0)])?.id, "target-0");
    statistics.peers.record("host-2", new Map([["target-0", SLOTS]]), clock.now);
    clock.now += 2_100;
    assert.equal(chooser.choose([target(0)])?.id, "target-0", "counts of a silent peer block a target indefinitely");
});

test("reported load affects the choice for two seconds and no longer", () => {
    const { clock, report, shares } = createHost();
    const [busy, idle] = [target(0), target(1)];
    report(busy, { running: 3 });
    assert.equal(shares([busy, idle])(idle), 1);
    clock.now += 2_100;
    const share = shares([busy, idle])(busy);
    assert.ok(share > 0.3 && share < 0.7, `share ${share}`);
});

test("reports of a target that refuses requests or runs more than it reports lose trust", () => {
    for (const contradiction of ["sheds", "frozen"] as const) {
        const { slots, statistics, report, end } = createHost();
        const misreporting = target(0);
        if (contradiction === "frozen") {
            slots.acquire(misreporting.id);
            slots.acquire(misreporting.id);
            slots.acquire(misreporting.id);
        }
        for (let i = 0; i < 3; i++) {
            report(misreporting, { running: 0 });
            if (contradiction === "sheds") {
                end(misreporting, "refused");
            }
        }
        assert.ok(
            statistics.reports.trustOf(misreporting.id) < 0.5,
            `${contradiction}: trust ${statistics.reports.trustOf(misreporting.id)}`,
        );
    }
});

test("reports of a full target that still completes requests lose trust", () => {
    const { statistics, report, end, shares } = createHost();
    const [misreporting, other] = [target(0), target(1)];
    for (let i = 0; i < 6; i++) {
        report(misreporting, { running: 50 });
        end(misreporting, "complete");
    }
    assert.equal(statistics.reports.otherRunningOn(misreporting.id), 0);
    assert.ok(shares([misreporting, other])(misreporting) > 0.3);
});

test("refusals, failures and slowness lower the weight and successes restore it slowly", () => {
    for (const problem of ["refused", "broken", "slow"] as const) {
        const { end, shares, statistics } = createHost();
        const [bad, good] = [target(0), target(1)];
        const others = [target(2), target(3)];
        [good, ...others].forEach(other => end(other, "complete", 20, 10));
        if (problem === "slow") {
            end(bad, "complete", 400, 10);
        }
        else {
            end(bad, problem, 20, 2);
        }
        assert.ok(statistics.weightOf(bad) <= 0.5, `${problem}: weight ${statistics.weightOf(bad)}`);
        assert.equal(shares([bad, good])(bad), 0, problem);
        const lowered = statistics.weightOf(bad);
        end(bad, "complete", 20, 1);
        assert.ok(statistics.weightOf(bad) < lowered + 0.2, `${problem}: one success restores too much`);
        end(bad, "complete", 20, 60);
        assert.equal(statistics.weightOf(bad), 1, problem);
    }
});

test("targets with a low weight still get requests when the others are full", () => {
    const { slots, end, chooser } = createHost();
    const [bad, good] = [target(0), target(1)];
    end(bad, "refused", 20, 10);
    for (let i = 0; i < SLOTS; i++) {
        slots.acquire(good.id);
    }
    assert.equal(chooser.choose([bad, good])?.id, bad.id);
});

test("a target that refuses connections is avoided at once, unless most slots are on such targets", () => {
    const { end, chooser, clock, shares } = createHost();
    const candidates = [target(0), target(1), target(2)];
    end(candidates[0] as Target, "unsent", 1);
    assert.equal(shares(candidates)(candidates[0]), 0);
    end(candidates[1] as Target, "unsent", 1);
    end(candidates[2] as Target, "unsent", 1);
    assert.ok(chooser.choose(candidates) !== undefined, "no target is tried although all are backed off");
    clock.now += 5_000;
    assert.ok(chooser.choose([candidates[0] as Target]) !== undefined, "a backoff does not end");
});

test("a target that reports draining gets no request, even after it stops reporting", () => {
    const { report, chooser, clock } = createHost();
    report(target(0), { state: "draining" });
    assert.equal(chooser.choose([target(0)]), undefined);
    clock.now += 5_000;
    assert.equal(chooser.choose([target(0)]), undefined);
    report(target(0), { state: "serving" });
    assert.equal(chooser.choose([target(0)])?.id, "target-0");
});

test("a cold target starts with one request and gets more as its latency allows", () => {
    const { report, chooser, slots, end } = createHost();
    const cold = target(0);
    [1, 2, 3].forEach(i => end(target(i), "complete", 20, 10));
    report(cold, { state: "cold" });
    const releases = [slots.acquire(cold.id)];
    assert.equal(chooser.choose([cold]), undefined);
    end(cold, "complete", 300, 5);
    assert.equal(chooser.choose([cold]), undefined, "slow responses of a cold target raise its limit");
    end(cold, "complete", 20, 3);
    assert.equal(chooser.choose([cold])?.id, cold.id);
    releases.forEach(release => release());
});

test("requests stay in the zone, then in the region, while these have free slots", () => {
    const { slots, chooser } = createHost();
    const candidates = [target(0, "albany-a", "albany"), target(1, "perth-b"), target(2)];
    const order: (string | undefined)[] = [];
    for (let i = 0; i < 3 * SLOTS; i++) {
        const chosen = chooser.choose(candidates) as Target;
        slots.acquire(chosen.id);
        order.push(chosen.id);
    }
    const expected = ["target-2", "target-1", "target-0"].flatMap(id => Array.from({ length: SLOTS }, () => id));
    assert.deepEqual(order, expected);
});
