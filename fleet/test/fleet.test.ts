import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { SteppedFleet } from "./steppedFleet.js";

/** Longest time in which the loss of relays may leave a host without what the others report, in ms. */
const HEAL_MS = 4_000;

function settledFleet(zones = 9, hostsPerZone = 22): SteppedFleet {
    const fleet = new SteppedFleet({ zones, hostsPerZone });
    fleet.run(3_000);
    return fleet;
}

/** Asserts that every host that is up counts each request of every other one once. */
function assertEachCountedOnce(fleet: SteppedFleet): void {
    for (const host of fleet.up) {
        const others = fleet.up.filter(other => other !== host).reduce((sum, { running }) => sum + running, 0);
        assert.equal(fleet.knownRunning(host), others, `running requests known by ${host.identity.hostId}`);
        assert.equal(host.view.hostCount, fleet.up.length, `hosts known by ${host.identity.hostId}`);
    }
}

describe("exchange of reports through relays", () => {
    it("keeps links proportional to the zones and the own zone, which a full mesh of 198 hosts does not", () => {
        const fleet = settledFleet();
        const links = fleet.all.map(({ linked }) => linked.size);
        assert.equal(links.filter(count => count <= 2).length, 180);
        assert.ok(Math.max(...links) <= 21 + 2 * 8, `${Math.max(...links)} links`);
        assertEachCountedOnce(fleet);
    });

    it("counts each request once in a small fleet, where all hosts are relays", () => {
        assertEachCountedOnce(settledFleet(6, 2));
        assertEachCountedOnce(settledFleet(3, 1));
    });

    it("chooses large hosts as relays, as small ones have too little processor time", () => {
        const fleet = settledFleet();
        const relays = fleet.all.filter(({ isRelay }) => isRelay).map(({ identity }) => identity.hostId);
        assert.equal(relays.length, 18);
        assert.ok(relays.every(id => Number(id.split("-")[1]) < 27), relays.join(" "));
    });

    it("counts admitted requests once when a relay is lost, and none of them again when it returns", () => {
        const fleet = settledFleet();
        const send = () => {
            fleet.up.forEach(host => host.admitted += 2);
            fleet.run(600);
        };
        send();
        const relay = fleet.relaysOf("zone-0")[0]!;
        relay.isDown = true;
        fleet.run(HEAL_MS);
        const before = fleet.up.map(({ othersAdmitted }) => othersAdmitted);
        send();
        fleet.run(1_000);
        const increases = fleet.up.map(({ othersAdmitted }, index) => othersAdmitted - before[index]!);
        assert.ok(increases.every(increase => increase === 2 * (fleet.up.length - 1)), [...new Set(increases)].join());
        relay.isDown = false;
        fleet.restart(relay);
        fleet.run(HEAL_MS);
        const returned = fleet.hosts.get(relay.identity.hostId)!;
        assert.ok(fleet.up.every(host => host === returned || host.othersAdmitted <= 4 * fleet.all.length));
        assertEachCountedOnce(fleet);
    });

    it("replaces all relays of a zone that are lost at once", () => {
        const fleet = settledFleet();
        fleet.relaysOf("zone-3").forEach(relay => relay.isDown = true);
        fleet.run(HEAL_MS);
        assertEachCountedOnce(fleet);
        assert.equal(fleet.relaysOf("zone-3").length, 2);
    });

    it("serves the other zones while a whole zone is lost, and takes it back", () => {
        const fleet = settledFleet();
        const lost = fleet.all.filter(({ identity }) => identity.availabilityZone === "zone-2");
        lost.forEach(host => host.isDown = true);
        fleet.run(HEAL_MS);
        assertEachCountedOnce(fleet);
        lost.forEach(host => {
            host.isDown = false;
            fleet.restart(host);
        });
        fleet.run(HEAL_MS);
        assertEachCountedOnce(fleet);
    });

    it("knows less, and never more, of two zones that cannot reach each other while a third reaches both", () => {
        const fleet = settledFleet();
        const cut = new Set(["zone-0", "zone-1"]);
        fleet.isReachable = (a, b) =>
            a.identity.availabilityZone === b.identity.availabilityZone ||
            !(cut.has(a.identity.availabilityZone) && cut.has(b.identity.availabilityZone));
        fleet.run(HEAL_MS);
        for (const host of fleet.all) {
            const expected = cut.has(host.identity.availabilityZone) ? fleet.all.length - 22 : fleet.all.length;
            assert.equal(host.view.hostCount, expected);
            assert.equal(fleet.knownRunning(host), expected - 1);
        }
        fleet.isReachable = () => true;
        fleet.run(HEAL_MS);
        assertEachCountedOnce(fleet);
    });

    it("counts a host alone that is cut off, so that it uses its own share of the limits only", () => {
        const fleet = settledFleet();
        const alone = fleet.all.at(-1)!;
        fleet.isReachable = (a, b) => a !== alone && b !== alone;
        fleet.run(HEAL_MS);
        assert.equal(alone.view.hostCount, 1);
        assert.equal(fleet.knownRunning(alone), 0);
    });

    it("lists the ready hosts of all zones on every host, and drops one that is lost", () => {
        const fleet = settledFleet();
        const lost = fleet.all.at(-1)!;
        lost.isDown = true;
        fleet.run(2 * HEAL_MS);
        for (const host of fleet.up) {
            const listed = host.view.readyHosts.map(({ callers }) => callers);
            assert.equal(new Set(listed).size, fleet.up.length - 1);
            assert.ok(!listed.includes(lost.identity.hostId));
        }
    });

    it("sends little per host: a summary does not grow with the number of hosts", () => {
        const bytes = [66, 198].map(hosts => {
            const fleet = settledFleet(9, hosts / 9);
            const before = Math.max(...fleet.all.map(({ sentBytes }) => sentBytes));
            fleet.run(3_000);
            return Math.max(...fleet.all.map(({ sentBytes }) => sentBytes)) - before;
        });
        assert.ok(bytes[1]! < bytes[0]! * 2, bytes.join(" "));
    });
});
