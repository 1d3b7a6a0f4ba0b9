import { getFreePort, waitUntil } from "@pistachioreel/testing";
import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { newIncarnation, WebSocketMesh } from "../src/index.js";

const LINK_TIMEOUT_MS = 8_000;
const HOUR_MS = 3_600_000;

describe("mesh of two hosts", () => {
    const meshes: WebSocketMesh[] = [];
    afterEach(() => meshes.splice(0).forEach(mesh => mesh.stop()));

    const events: string[] = [];

    async function startMesh(hostId: string, port: number, incarnation = newIncarnation()): Promise<WebSocketMesh> {
        const mesh = new WebSocketMesh({
            identity: { hostId, incarnation, availabilityZone: "z-a", region: "north" },
            address: "127.0.0.1",
            port,
            secrets: ["secret of the test"],
            now: () => performance.now(),
            onEvent: event => events.push(event),
        });
        await mesh.start();
        meshes.push(mesh);
        return mesh;
    }

    it("links a host that knows the others by address only", async () => {
        const [portA, portB] = [await getFreePort(), await getFreePort()];
        const first = await startMesh("a", portA);
        const second = await startMesh("b", portB);
        void second.connectToSeeds([`127.0.0.1:${portB}`, `127.0.0.1:${portA}`]);
        await waitUntil(() => first.peers().length === 1 && second.peers().length === 1, LINK_TIMEOUT_MS);
        assert.equal(second.peers()[0]?.hostId, "a");
    });

    it("links a restarted host again although its clock was set back before the restart", async () => {
        const [portA, portB] = [await getFreePort(), await getFreePort()];
        const first = await startMesh("a", portA);
        first.setPeers([{ hostId: "b", address: `127.0.0.1:${portB}` }]);
        const earlier = await startMesh("b", portB);
        await waitUntil(() => first.peers().length === 1, LINK_TIMEOUT_MS);
        earlier.stop();
        await waitUntil(() => first.peers().length === 0, LINK_TIMEOUT_MS);
        const incarnation = newIncarnation(Date.now() - HOUR_MS);
        await startMesh("b", portB, incarnation);
        await waitUntil(() => first.peers()[0]?.incarnation === incarnation, LINK_TIMEOUT_MS);
    });

    it("goes on to send heartbeats if a part of them fails, which would end the process", async () => {
        const [portA, portB] = [await getFreePort(), await getFreePort()];
        const first = await startMesh("a", portA);
        const second = await startMesh("b", portB);
        let received = 0;
        first.addHeartbeatPart("working", { payload: () => undefined, receive: () => received++ });
        const fail = () => {
            throw new Error("of the test");
        };
        second.addHeartbeatPart("failing", { payload: fail, receive: () => undefined });
        second.addHeartbeatPart("working", { payload: () => 1, receive: () => undefined });
        second.setPeers([{ hostId: "a", address: `127.0.0.1:${portA}`, isOnlyOpener: true }]);
        await waitUntil(() => received >= 2, LINK_TIMEOUT_MS);
        assert.ok(events.includes("peer-message-failed"));
    });

    it("survives a handler that fails at a message or a heartbeat of a peer, which would end the process", async () => {
        const [portA, portB] = [await getFreePort(), await getFreePort()];
        const first = await startMesh("a", portA);
        const second = await startMesh("b", portB);
        const fail = () => {
            throw new Error("of the test");
        };
        first.registerHandler("failing", fail);
        first.addHeartbeatPart("failing", { payload: () => undefined, receive: fail });
        second.setPeers([{ hostId: "a", address: `127.0.0.1:${portA}`, isOnlyOpener: true }]);
        await waitUntil(() => first.peers().length === 1, LINK_TIMEOUT_MS);
        second.send("a", { type: "failing" });
        await waitUntil(() => events.includes("peer-message-failed"), LINK_TIMEOUT_MS);
        second.addHeartbeatPart("failing", { payload: () => 1, receive: () => undefined });
        second.sendHeartbeats();
        await waitUntil(() => events.includes("peer-lost"), LINK_TIMEOUT_MS);
        await waitUntil(() => first.peers().length === 1, LINK_TIMEOUT_MS);
    });
});
