import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { TargetStatement } from "../src/targetStatement.js";
import { newHost, newRequest, newTarget } from "./fixtures.js";

const HOUR_MS = 3_600_000;

function newStatement(opts: Partial<TargetStatement> = {}): TargetStatement {
    return {
        load: undefined,
        coldMs: undefined,
        isLeaving: false,
        pauseMs: undefined,
        limitPerSecond: undefined,
        invalidHeaders: [],
        ...opts,
    };
}

/** A host with two targets, of which the first is `t`. */
function newStatedHost() {
    const clock = { now: 100_000 };
    const target = newTarget("t");
    const host = newHost({ clock, targets: [target, newTarget("u")] });
    const state = (opts: Partial<TargetStatement>, sentAt = clock.now, of = target) =>
        host.statements.record(of, newStatement(opts), sentAt);
    const choose = (excluded: readonly string[] = ["u"]) =>
        host.placement.choose(newRequest(clock, { excluded: new Set(excluded) }));
    return { clock, target, state, choose, ...host };
}

describe("statements of targets", () => {
    it("keep a leaving target out of every choice, retries included, also if its entry is read again", () => {
        const { target, state, choose, registry, statements } = newStatedHost();
        state({ isLeaving: true });
        registry.remove(target.id);
        statements.retain(registry.all);
        registry.put(target);
        assert.ok("refusal" in choose());
        assert.ok("target" in choose([]));
    });

    it("do not hold for another incarnation at the same address", () => {
        const { state, choose, registry } = newStatedHost();
        state({ isLeaving: true });
        registry.put(newTarget("t", { incarnation: 2 }));
        assert.ok("target" in choose());
    });

    it("end a limit only by a response to a request that was sent after it was stated", () => {
        const { clock, target, state, rateLimits } = newStatedHost();
        state({ limitPerSecond: 0 });
        const isLimited = () => Array.from({ length: 20 }, () => rateLimits.tryTake(target)).includes(false);
        clock.now += 50;
        state({}, clock.now - 100);
        assert.ok(isLimited(), "the response was made before the statement");
        state({}, clock.now - 10);
        assert.ok(!isLimited());
    });

    it("keep a target that asks for a pause out of every choice until its end, and return to it gradually", () => {
        const { clock, target, state, choose, loads } = newStatedHost();
        state({ pauseMs: 2_000 });
        clock.now += 1_999;
        const refused = choose();
        assert.ok("refusal" in refused && refused.refusal === "noTarget");
        clock.now += 1 + 500 + 100;
        assert.ok("target" in choose());
        const releases = [1, 2, 3].map(() => loads.start(target.id));
        assert.ok("refusal" in choose(), "this host's requests there grow over 2 s");
        clock.now += 2_000;
        assert.ok("target" in choose());
        releases.forEach(release => release());
    });

    it("tell callers the true time when all targets have asked for a pause", () => {
        const { state, choose } = newStatedHost();
        state({ pauseMs: 5_000 });
        const refused = choose();
        assert.ok("refusal" in refused && refused.retryAfterMs >= 5_000, JSON.stringify(refused));
    });

    it("ask a target once whether it is back in a pause of an hour, so that its service is not lost for an hour", () => {
        const { clock, target, state, choose, statements } = newStatedHost();
        state({ pauseMs: HOUR_MS });
        clock.now += 9_000;
        assert.ok("refusal" in choose());
        clock.now += 2_000;
        assert.ok("target" in choose());
        statements.recordSent(target);
        state({ pauseMs: HOUR_MS });
        clock.now += 60_000;
        assert.ok("refusal" in choose(), "a second one could be too many for the target");
        assert.ok("target" in choose([]), "another target is used meanwhile");
    });

    it("withdraw a request whose target declines while a connection is opened", () => {
        const { clock, target, state, statements } = newStatedHost();
        const chosenAt = clock.now;
        assert.equal(statements.hasDeclinedSince(target, chosenAt), false);
        clock.now += 100;
        state({ pauseMs: 1_000 });
        assert.equal(statements.hasDeclinedSince(target, chosenAt), true);
        assert.equal(statements.hasDeclinedSince(target, clock.now + 1), false);
    });
});

describe("statements that hosts share", () => {
    it("reach another host with their age, and only once", () => {
        const [first, second] = [newStatedHost(), newStatedHost()];
        first.state({ isLeaving: true, limitPerSecond: 3 });
        first.clock.now += 200;
        const [shared] = first.statements.takeNews();
        assert.deepEqual(shared, { target: "t/1", isLeaving: true, limitPerSecond: 3, ageMs: 200 });
        assert.equal(second.statements.recordShared(shared!), true);
        assert.equal(second.statements.recordShared(shared!), false);
        assert.ok("refusal" in second.choose());
        assert.deepEqual(first.statements.takeNews(), []);
        assert.equal(second.statements.allShared().length, 1);
    });

    it("do not bring back an older limit of a host that is behind", () => {
        const { clock, target, state, statements, rateLimits } = newStatedHost();
        state({ limitPerSecond: 1 });
        clock.now += 500;
        state({});
        const behind = { target: "t/1", isLeaving: false, limitPerSecond: 1, ageMs: 400 };
        assert.equal(statements.recordShared(behind), false);
        assert.ok(Array.from({ length: 20 }, () => rateLimits.tryTake(target)).every(isTaken => isTaken));
    });
});
