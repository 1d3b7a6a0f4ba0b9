import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { SharedBucket } from "../src/sharedBucket.js";

const RATE = 100;
const BURST = 100;
const HOSTS = 10;
const WINDOW_MS = 5_000;
const REPORT_MS = 240;
/** What the platform's users accept above the limit within a window. */
const ALLOWED = (RATE * WINDOW_MS / 1_000 + BURST) * 1.1 + 20;

/** Admits everything that the hosts can, with reports every 240 ms; returns the most within one window. */
function mostAdmitted(opts: { share: number; demandPerSecond: number; isCut: boolean; }): number {
    const clock = { now: 0 };
    const buckets = Array.from({ length: HOSTS }, () => new SharedBucket({ now: () => clock.now }));
    buckets.forEach(bucket => bucket.resize({ rate: RATE, burst: BURST, share: opts.share }));
    const admittedAt: number[] = [];
    let owed = 0;
    for (; clock.now < 12_000; clock.now += 10) {
        for (owed += opts.demandPerSecond / 100; owed >= 1; owed--) {
            const host = buckets[Math.floor(owed * 7 + clock.now / 10) % HOSTS];
            if (host?.tryTake()) {
                admittedAt.push(clock.now);
            }
        }
        if (!opts.isCut && clock.now % REPORT_MS === 0) {
            buckets.forEach((bucket, index) =>
                buckets.forEach((other, peer) => index === peer || bucket.notePeer(`h${peer}`, other.total))
            );
        }
    }
    return Math.max(
        0,
        ...admittedAt.map(start => admittedAt.filter(at => at >= start && at < start + WINDOW_MS).length),
    );
}

describe("limit of a workspace over all hosts", () => {
    it("guards against more than the limit at several times the rate", () => {
        fc.assert(
            fc.property(fc.integer({ min: 50, max: 800 }), demandPerSecond => {
                assert.ok(mostAdmitted({ share: 1, demandPerSecond, isCut: false }) <= ALLOWED);
            }),
            { numRuns: 25, seed: 7 },
        );
    });

    it("guards against hosts that are cut off from each other using the whole rate each", () => {
        assert.ok(mostAdmitted({ share: 1 / HOSTS, demandPerSecond: 800, isCut: true }) <= ALLOWED);
    });

    it("guards against refusing a workspace that stays within its rate", () => {
        const admitted = mostAdmitted({ share: 1, demandPerSecond: RATE * 0.9, isCut: false });
        assert.ok(admitted >= RATE * 0.9 * WINDOW_MS / 1_000 * 0.95, String(admitted));
    });
});
