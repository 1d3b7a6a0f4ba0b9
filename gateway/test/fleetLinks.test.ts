import { Logger } from "@pistachioreel/logging";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { FleetLinks } from "../src/fleetLinks.js";
import { StoreGate } from "../src/storeGate.js";
import { MeshStandIn } from "./meshStandIn.js";

const HOSTS = ["h-0", "h-1", "h-2", "h-3"];

function createLinks(hostId: string, { isFirstStart = false, lagMs = () => 0 as number } = {}) {
    const clock = { now: 0 };
    const gate = new StoreGate();
    const identity = (id: string) => ({ hostId: id, incarnation: "1", availabilityZone: "a", region: "r" });
    const mesh = new MeshStandIn(identity(hostId));
    const links = new FleetLinks({
        hostId,
        availabilityZone: "a",
        region: "r",
        mesh,
        gate,
        observer: { onRunning: () => undefined, onUsage: () => undefined },
        isFirstStart,
        knowsHosts: () => true,
        isCutOff: () => false,
        lagMs,
        now: () => clock.now,
        logger: new Logger("links-test", { write: () => undefined }),
        signal: new AbortController().signal,
    });
    const update = () =>
        links.setHosts(HOSTS.map((id, index) => ({
            hostId: id,
            peers: `10.0.0.${index}:1`,
            callers: `10.0.0.${index}:2`,
            availabilityZone: "a",
            region: "r",
            cores: index < 2 ? 1 : 0.5,
        })));
    const linkTo = (id: string) => MeshStandIn.link(mesh, new MeshStandIn(identity(id)));
    const linkFrom = (id: string) => MeshStandIn.link(new MeshStandIn(identity(id)), mesh);
    const receiveReport = (id: string) =>
        links.view.record(identity(id), {
            state: "ready",
            callers: "",
            running: {},
            admitted: {},
            revisions: {},
            warmed: [],
            summary: { hosts: 2, running: {}, admitted: {}, readyHosts: {} },
        });
    return { links, mesh, gate, clock, update, linkTo, linkFrom, receiveReport };
}

describe("links of a host", () => {
    it("lead to the relays of its zone, and only relays follow the store", () => {
        const host = createLinks("h-3");
        host.update();
        assert.deepEqual([...host.mesh.listed].sort(), ["h-0", "h-1"]);
        assert.equal(host.gate.isOpen, false);
        const relay = createLinks("h-0");
        relay.update();
        assert.equal(relay.gate.isOpen, true);
    });

    it("let a host follow the store itself while no relay reports, and stop when one does again", () => {
        const host = createLinks("h-3");
        host.linkTo("h-0");
        host.receiveReport("h-0");
        host.clock.now = 1_000;
        host.update();
        assert.equal(host.gate.isOpen, false);
        host.clock.now = 5_000;
        host.update();
        assert.equal(host.gate.isOpen, true, "the relay has been silent");
        host.receiveReport("h-0");
        host.update();
        assert.equal(host.gate.isOpen, false);
    });

    it("let a host follow the store 1.6 s after the last report of a relay, since it may miss a target that leaves", () => {
        const host = createLinks("h-3");
        host.receiveReport("h-0");
        for (host.clock.now = 0; host.clock.now < 1_600; host.clock.now += 200) {
            host.update();
        }
        host.update();
        assert.equal(host.gate.isOpen, true);
    });

    it("let a host follow the store whose relay knows of changes but does not deliver them", () => {
        const host = createLinks("h-3", { lagMs: () => 2_000 });
        host.receiveReport("h-0");
        host.update();
        assert.equal(host.gate.isOpen, true);
    });

    it("make a host a relay that others use as one, so that a one-way loss between others leaves nobody alone", () => {
        const host = createLinks("h-2");
        host.update();
        assert.equal(host.links.isRelay, false);
        host.linkFrom("h-3");
        host.update();
        assert.equal(host.links.isRelay, true);
        assert.equal(host.gate.isOpen, true);
    });

    it("do not make a host a relay that has found others by their addresses only", () => {
        const host = createLinks("h-3");
        host.linkTo("h-2");
        host.update();
        assert.equal(host.links.isRelay, false);
    });

    it("wait at the first start of the fleet, when all hosts would call the store as if they were alone", () => {
        const host = createLinks("h-3", { isFirstStart: true });
        host.clock.now = 2_000;
        host.update();
        assert.equal(host.gate.isOpen, false);
        assert.deepEqual(host.mesh.listed, []);
    });
});
