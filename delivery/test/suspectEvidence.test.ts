import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { CrashSuspects } from "../src/crashSuspects.js";

const CRASHER = "c".repeat(64);
const OTHER = "d".repeat(64);
const DEADLINE_MS = 100_000;

function createSuspects() {
    const clock = { now: 0 };
    const suspects = new CrashSuspects({ hostId: "h1", observe: () => undefined, now: () => clock.now });
    const isRefused = async (digest: string) => {
        const admission = await suspects.awaitTurn(digest, DEADLINE_MS);
        suspects.endTurn(digest, false);
        return admission.isErr();
    };
    /** Lets the request lose a target in its turn. */
    const loseInTurn = async (digest: string, target: string) => {
        const admission = await suspects.awaitTurn(digest, DEADLINE_MS);
        const startedAt = clock.now;
        clock.now += 10;
        suspects.recordLoss(digest, target, admission.unwrapOr("free"), { startedAt, endedAt: clock.now });
    };
    return { clock, suspects, isRefused, loseInTurn };
}

describe("evidence that a request crashes targets", () => {
    it("is not the loss of a target that was killed before the attempt, which would refuse frequent requests", async () => {
        const { clock, isRefused, loseInTurn } = createSuspects();
        await loseInTurn(OTHER, "t1");
        await loseInTurn(CRASHER, "t2");
        clock.now += 10;
        await loseInTurn(OTHER, "t2");
        assert.equal(await isRefused(OTHER), false);
    });

    it("is not the loss of a target that other copies of the request had lost before the attempt", async () => {
        const { clock, suspects, isRefused, loseInTurn } = createSuspects();
        ["t1", "t2", "t3"].forEach(target =>
            suspects.recordLoss(OTHER, target, "free", { startedAt: 0, endedAt: clock.now })
        );
        clock.now += 10;
        await loseInTurn(OTHER, "t2");
        assert.equal(await isRefused(OTHER), false);
    });

    it("is not a loss that was noticed during the attempt, but happened before it", async () => {
        const { clock, suspects, isRefused } = createSuspects();
        suspects.recordLoss(OTHER, "t1", "free", { startedAt: 0, endedAt: clock.now });
        const endedAt = clock.now += 10;
        const startedAt = clock.now += 5;
        const admission = await suspects.awaitTurn(OTHER, DEADLINE_MS);
        clock.now += 20;
        suspects.recordLoss(CRASHER, "t2", "free", { startedAt: 0, endedAt });
        suspects.recordLoss(OTHER, "t2", admission.unwrapOr("free"), { startedAt, endedAt: clock.now });
        assert.equal(await isRefused(OTHER), false);
    });

    it("is the loss of a target that was well until the attempt", async () => {
        const { clock, isRefused, loseInTurn } = createSuspects();
        await loseInTurn(CRASHER, "t1");
        clock.now += 10;
        await loseInTurn(CRASHER, "t2");
        assert.equal(await isRefused(CRASHER), true);
    });

    it("is the loss of a target that was lost long before", async () => {
        const { clock, isRefused, loseInTurn } = createSuspects();
        await loseInTurn(OTHER, "t2");
        await loseInTurn(CRASHER, "t1");
        clock.now += 5_000;
        await loseInTurn(CRASHER, "t2");
        assert.equal(await isRefused(CRASHER), true);
    });
});
