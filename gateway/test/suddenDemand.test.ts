import assert from "node:assert/strict";
import { test } from "node:test";
import { simulateFleetLimit } from "../../limits/test/simulateFleetLimit.js";
import { reportInterval } from "../src/reportInterval.js";

interface FleetSize {
    readonly hosts: number;
    readonly zones: number;
    readonly largestZone: number;
}

const RELAYS_PER_ZONE = 2;
/** Largest rise of a workspace's demand in the deployments; its rate is 1.6 times the usual demand. */
const DEMAND_FACTOR = 7.5;
const RATE_FACTOR = 1.6;

const fleets: FleetSize[] = [
    { hosts: 10, zones: 6, largestZone: 2 },
    { hosts: 82, zones: 6, largestZone: 14 },
    { hosts: 195, zones: 9, largestZone: 25 },
];

for (const { hosts, zones, largestZone } of fleets) {
    test(`the limits of large workspaces hold on ${hosts} hosts when demand rises to several times the usual`, () => {
        const reportMs = reportInterval({ links: RELAYS_PER_ZONE, hosts });
        const relayLinks = largestZone - 1 + RELAYS_PER_ZONE * (zones - 1);
        // A report waits at each of two relays for half of the relay's interval, on average.
        const delayMs = reportInterval({ links: relayLinks, hosts });
        for (const rate of [30, 150, 400]) {
            const demandPerSecond = rate * DEMAND_FACTOR / RATE_FACTOR;
            const fleet = simulateFleetLimit({ hosts, reportMs, delayMs, rate, demandPerSecond });
            assert.ok(fleet.mostAdmitted <= fleet.mostTolerated, `${fleet.mostAdmitted} of ${fleet.mostTolerated}`);
        }
    });
}
