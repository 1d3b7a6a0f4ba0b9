import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ReplicatedTokenBucket } from "../src/replicatedTokenBucket.js";

const RATE = 100;
const BURST = 100;
const WINDOW_MS = 5_000;
/** What the platform's users accept above the limit within a window. */
const MAX_ADMITTED = (RATE * WINDOW_MS / 1_000 + BURST) * 1.1 + 20;

interface Scenario {
    readonly hosts: number;
    readonly demandPerSecond: number;
    /** Time between the reports of a host, in ms. */
    readonly reportMs?: number;
    readonly isPartitioned?: boolean;
}

/** A workspace asks for its usual 60 % of the rate, then from 4 s on for more; returns the most within one window. */
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

describe("limit of a workspace over all hosts", () => {
    it("guards against more than the limit at several times the rate", () => {
        fc.assert(
            fc.property(fc.integer({ min: 50, max: 800 }), demandPerSecond => {
                const most = maxAdmitted({ hosts: 10, demandPerSecond });
                assert.ok(most <= MAX_ADMITTED, `${most} at ${demandPerSecond}/s`);
            }),
            { numRuns: 25, seed: 7 },
        );
    });

    it("guards against a large fleet, whose reports are older, admitting more than the limit", () => {
        const most = maxAdmitted({ hosts: 82, demandPerSecond: 450, reportMs: 960 });
        assert.ok(most <= MAX_ADMITTED, String(most));
    });

    it("guards against hosts that are cut off from each other using the whole rate each", () => {
        const most = maxAdmitted({ hosts: 10, demandPerSecond: 800, isPartitioned: true });
        assert.ok(most <= MAX_ADMITTED, String(most));
    });

    for (const hosts of [10, 82]) {
        it(`guards against ${hosts} hosts refusing a workspace that stays within its rate`, () => {
            const most = maxAdmitted({ hosts, demandPerSecond: RATE * 0.8, reportMs: hosts === 10 ? 240 : 960 });
            assert.ok(most >= RATE * 0.8 * WINDOW_MS / 1_000 * 0.97, String(most));
        });
    }

    it("guards against giving away the rate while more is asked for", () => {
        const most = maxAdmitted({ hosts: 10, demandPerSecond: 500 });
        assert.ok(most >= RATE * WINDOW_MS / 1_000 * 0.95, String(most));
    });
});
