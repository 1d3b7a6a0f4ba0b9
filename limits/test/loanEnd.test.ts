import { DistributedRateLimiter, loanTerms } from "@pistachioreel/limits";
import assert from "node:assert/strict";
import { test } from "node:test";

const RATE = 100;
const BURST = 20;
const REPLY_DELAY_MS = 230;

/** An owner and a borrower own half of the limit each; the borrower gets one loan, whose reply is delayed. */
function borrowOnce() {
    const clock = { time: 0 };
    const peer = (hostId: string) => ({ hostId, incarnation: hostId, availabilityZone: "a" });
    const limiterOf = (hostId: string) =>
        new DistributedRateLimiter({
            ...peer(hostId),
            view: { size: 2, ownsShare: () => true },
            limits: () => ({ sheets: { rate: RATE, burst: BURST } }),
            now: () => clock.time,
            random: () => 0,
        });
    const [owner, borrower] = [limiterOf("owner"), limiterOf("borrower")];
    const limit = borrower.workspace("sheets");
    owner.workspace("sheets");
    const wait = (durationMs: number) => {
        for (const until = clock.time + durationMs; clock.time < until;) {
            clock.time += 10;
            borrower.workspace("sheets");
        }
    };
    wait(loanTerms.reclaimAfterMs);
    Array.from({ length: 100 }, () => limit?.demand.count());
    const sentAt = clock.time;
    const request = borrower.prepareRequests([peer("owner")])[0]?.message;
    wait(REPLY_DELAY_MS);
    const loan = owner.handleLoanRequest(peer("borrower"), request);
    borrower.handleLoan(peer("owner"), loan);
    return { clock, wait, borrower, limit, endsAt: sentAt + loanTerms.ttlMs };
}

// Guards against a borrower that measures the loan's term from the reply's arrival, a time the owner does not know.
test("a loan ends a fixed time after its request was sent", () => {
    const { clock, wait, limit, endsAt } = borrowOnce();
    wait(endsAt - clock.time - 10);
    assert.equal(limit?.effectiveLimit.rate, RATE);
    wait(10);
    assert.equal(limit?.effectiveLimit.rate, RATE / 2);
});

// Guards against a resumed process that refills for the whole pause at the rate of a loan that ended during it.
test("a loan that ends during a pause adds tokens only up to its end", () => {
    const { clock, limit, endsAt } = borrowOnce();
    while (limit?.tryTake()) {
        // Spends all tokens.
    }
    clock.time = endsAt - 10;
    while (limit?.tryTake()) {
        // Spends all tokens.
    }
    const before = limit?.tokens ?? 0;
    clock.time = endsAt + 40;
    const gained = (limit?.tokens ?? 0) - before;
    assert.ok(Math.abs(gained - (0.01 * RATE + 0.04 * RATE / 2)) < 1e-6, `gained ${gained}`);
});
