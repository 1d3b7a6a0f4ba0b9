import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ReplicatedTokenBucket } from "../src/replicatedTokenBucket.js";

const RATE = 100;
const BURST = 100;
const WINDOW_MS = 5_000;
/** Largest number of admitted requests that the users tolerate within a window: the limit plus 10 % plus 20. */
const MAX_ADMITTED = (RATE * WINDOW_MS / 1_000 + BURST) * 1.1 + 20;

interface Scenario {
    readonly hosts: number;
    readonly demandPerSecond: number;
    /** Interval between the reports of a host, in ms. */
    readonly reportMs?: number;
    readonly isPartitioned?: boolean;
}

/** Demand is 60 % of the rate, and `demandPerSecond` from 4 s on. Returns the most admitted within one window. */
function maxAdmitted({ hosts, demandPerSecond, reportMs = 240, isPartitioned = false }: Scenario): number {
    const clock = { now: 0 };
    const buckets = Array.from({ length: hosts }, () => new ReplicatedTokenBucket({ now: () => clock.now }));
    const connectedHosts = isPartitioned ? 1 : hosts;
    buckets.forEach(bucket =>
        bucket.resize({ rate: RATE, burst: BURST, share: connectedHosts / hosts, hosts: connectedHosts })
    );
    const admittedAt: number[] = [];
    let pendingRequests = 0;
    let hostSequence = 0;
    for (; clock.now < 14_000; clock.now += 10) {
        for (
            pendingRequests += (clock.now < 4_000 ? RATE * 0.6 : demandPerSecond) / 100;
            pendingRequests >= 1;
            pendingRequests--
        ) {
            hostSequence = (hostSequence * 31 + 7) % 9_973;
            if (buckets[hostSequence % hosts]?.tryTake()) {
                admittedAt.push(clock.now);
            }
        }
        buckets.forEach((bucket, peer) => {
            const isDue = (clock.now + peer * 10) % reportMs < 10;
            const report = isDue ? bucket.collectReport() : undefined;
            if (report !== undefined && !isPartitioned) {
                buckets.forEach((other, index) =>
                    index === peer || other.applyPeerReport({ hostId: `h${peer}`, incarnation: "1" }, report)
                );
            }
        });
    }
    return Math.max(
        0,
        ...admittedAt.map(start => admittedAt.filter(at => at >= start && at < start + WINDOW_MS).length),
    );
}

describe("rate limit of a workspace over all hosts", () => {
    it("stays within tolerance of the limit when the demand is several times the rate", () => {
        fc.assert(
            fc.property(fc.integer({ min: 50, max: 800 }), demandPerSecond => {
                const most = maxAdmitted({ hosts: 10, demandPerSecond });
                assert.ok(most <= MAX_ADMITTED, `${most} at ${demandPerSecond}/s`);
            }),
            { numRuns: 25, seed: 7 },
        );
    });

    it("stays within tolerance of the limit in a large fleet with infrequent reports", () => {
        const most = maxAdmitted({ hosts: 82, demandPerSecond: 450, reportMs: 960 });
        assert.ok(most <= MAX_ADMITTED, String(most));
    });

    it("stays within tolerance of the limit when all hosts are cut off from each other", () => {
        const most = maxAdmitted({ hosts: 10, demandPerSecond: 800, isPartitioned: true });
        assert.ok(most <= MAX_ADMITTED, String(most));
    });

    for (const hosts of [10, 82]) {
        it(`admits a workspace that stays within its rate on ${hosts} hosts`, () => {
            const most = maxAdmitted({ hosts, demandPerSecond: RATE * 0.8, reportMs: hosts === 10 ? 240 : 960 });
            assert.ok(most >= RATE * 0.8 * WINDOW_MS / 1_000 * 0.97, String(most));
        });
    }

    it("admits at least 95 % of the rate while the demand exceeds it", () => {
        const most = maxAdmitted({ hosts: 10, demandPerSecond: 500 });
        assert.ok(most >= RATE * WINDOW_MS / 1_000 * 0.95, String(most));
    });
});
