import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { simulateFleetLimit } from "./simulateFleetLimit.js";

const RATE = 100;
const WINDOW_MS = 5_000;
/**
 * Interval of the reports of a host in a fleet of nine availability zones, and the time that they take through two relays
 * if these send every 650 ms.
 */
const LARGE_FLEET = { hosts: 195, reportMs: 270, delayMs: 650 };

function assertTolerated(scenario: Parameters<typeof simulateFleetLimit>[0]): void {
    const { mostAdmitted, mostTolerated } = simulateFleetLimit(scenario);
    assert.ok(mostAdmitted <= mostTolerated, `${mostAdmitted} of ${mostTolerated} at ${scenario.demandPerSecond}/s`);
}

describe("rate limit of a workspace over all hosts", () => {
    it("stays within tolerance of the limit when the demand is several times the rate", () => {
        fc.assert(
            fc.property(fc.integer({ min: 50, max: 800 }), demandPerSecond => {
                assertTolerated({ hosts: 10, demandPerSecond });
            }),
            { numRuns: 25, seed: 7 },
        );
    });

    it("stays within tolerance of the limit in a large fleet with infrequent reports", () => {
        assertTolerated({ hosts: 82, demandPerSecond: 450, reportMs: 960 });
    });

    it("stays within tolerance of the limit when all hosts are cut off from each other", () => {
        assertTolerated({ hosts: 10, demandPerSecond: 800, isPartitioned: true });
    });

    for (const hosts of [10, 82]) {
        it(`admits a workspace that stays within its rate on ${hosts} hosts`, () => {
            const { mostAdmitted: most } = simulateFleetLimit({
                hosts,
                demandPerSecond: RATE * 0.8,
                reportMs: hosts === 10 ? 240 : 960,
            });
            assert.ok(most >= RATE * 0.8 * WINDOW_MS / 1_000 * 0.97, String(most));
        });
    }

    it("refuses almost no request of a small workspace near its rate that is spread over 195 hosts", () => {
        const { requested, admitted } = simulateFleetLimit({
            hosts: 195,
            demandPerSecond: 6 * 0.95,
            rate: 6,
            reportMs: 700,
        });
        assert.ok(admitted >= requested * 0.99, `${admitted} of ${requested}`);
    });

    for (const factor of [1.5, 4, 7.5]) {
        it(`stays within tolerance for a small workspace at ${factor} times its rate on 195 hosts`, () => {
            assertTolerated({ hosts: 195, demandPerSecond: 6 * factor, rate: 6, reportMs: 700 });
        });
    }

    for (const rate of [32, 150]) {
        it(`refuses almost no request while the demand is just below the rate of ${rate}/s on 195 hosts`, () => {
            const demandPerSecond = rate * 0.97;
            const { requested, admitted } = simulateFleetLimit({ ...LARGE_FLEET, demandPerSecond, rate });
            assert.ok(admitted >= requested * 0.99, `${admitted} of ${requested}`);
        });

        for (const factor of [1.2, 1.5, 2.5, 4]) {
            it(`stays within tolerance at ${factor} times the rate of ${rate}/s, which reports reach late`, () => {
                assertTolerated({ ...LARGE_FLEET, demandPerSecond: rate * factor, rate });
            });
        }
    }

    it("admits at least 95 % of the rate while the demand exceeds it", () => {
        const { mostAdmitted: most } = simulateFleetLimit({ hosts: 10, demandPerSecond: 500 });
        assert.ok(most >= RATE * WINDOW_MS / 1_000 * 0.95, String(most));
    });
});
