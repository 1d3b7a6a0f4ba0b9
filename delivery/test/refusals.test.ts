import { DeliveryFleet } from "@pistachioreel/testing";
import assert from "node:assert/strict";
import { after, afterEach, before, test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";

const SLOTS = 2;
let deliveryFleet: DeliveryFleet;

before(async () => {
    deliveryFleet = await DeliveryFleet.start({ hosts: 1, slots: SLOTS, deadlineMs: 1_500, attemptTimeoutMs: 1_000 });
});

afterEach(async () => {
    deliveryFleet.proxies.forEach(proxy => proxy.setFault(() => ({ mode: "pass" })));
    await deliveryFleet.setBehaviour({ workMs: 5, sheds: false });
});

after(() => deliveryFleet?.stop());

test("a request that every target refused under load is refused with 3009 as not run", async () => {
    await deliveryFleet.setBehaviour({ sheds: true });
    for (const record of [await deliveryFleet.send(0, "shed"), await deliveryFleet.sendOrder(0, "shed-order")]) {
        assert.deepEqual([record.code, record.outcome], [3009, "not-run"]);
        assert.equal(deliveryFleet.runsOf(record.marker).length, 0);
    }
});

test("a request whose deadline passes in the queue is refused with 3008 as not run", async () => {
    await deliveryFleet.setBehaviour({ workMs: 900 });
    const fillers = Array.from({ length: 2 * SLOTS }, (_, index) => deliveryFleet.send(0, `filler-${index}`));
    await sleep(100);
    const headers = { "x-deadline-ms": "300" };
    for (
        const record of await Promise.all([
            deliveryFleet.send(0, "queued", { headers }),
            deliveryFleet.sendOrder(0, "queued-order", { headers }),
        ])
    ) {
        assert.deepEqual([record.code, record.outcome], [3008, "not-run"]);
        assert.equal(deliveryFleet.runsOf(record.marker).length, 0);
    }
    await Promise.all(fillers);
});

test("a reset after the head was sent is unknown for an order; idempotent requests are retried elsewhere", async () => {
    await deliveryFleet.setBehaviour({ workMs: 600 });
    const order = deliveryFleet.sendOrder(0, "reset-order");
    const read = deliveryFleet.send(0, "reset-read");
    await sleep(200);
    deliveryFleet.proxies[0]?.resetOpenConnections();
    deliveryFleet.proxies[1]?.resetOpenConnections();
    await deliveryFleet.setBehaviour({ workMs: 5 });
    const [ordered, served] = [await order, await read];
    assert.deepEqual([ordered.code, ordered.outcome], [4001, "unknown"]);
    assert.equal(served.outcome, "complete");
    assert.equal(deliveryFleet.runsOf("reset-order").length, 1);
    assert.equal(deliveryFleet.runsOf("reset-read").length, 2);
});

test("a refusal after an attempt that may have run is reported as unknown, not as not run", async () => {
    await deliveryFleet.setBehaviour({ workMs: 600 });
    const read = deliveryFleet.send(0, "reset-then-shed");
    await sleep(200);
    await deliveryFleet.setBehaviour({ sheds: true });
    deliveryFleet.proxies.forEach(proxy => proxy.resetOpenConnections());
    const record = await read;
    assert.deepEqual([record.code, record.outcome], [4001, "unknown"]);
    assert.equal(deliveryFleet.runsOf("reset-then-shed").length, 1);
});

test("connections that are reset before the head is sent cause no false refusal", async () => {
    deliveryFleet.proxies.forEach(proxy => proxy.setFault(() => ({ mode: "refuse" })));
    const [order, read] = await Promise.all([
        deliveryFleet.sendOrder(0, "reset-early-order"),
        deliveryFleet.send(0, "reset-early"),
    ]);
    for (const record of [order, read]) {
        assert.ok([3007, 4001].includes(record.code), `code ${record.code}`);
        assert.equal(deliveryFleet.runsOf(record.marker).length, 0);
    }
    deliveryFleet.proxies.forEach(proxy => proxy.setFault(() => ({ mode: "pass" })));
    assert.equal((await deliveryFleet.send(0, "reset-idle")).outcome, "complete");
    deliveryFleet.proxies.forEach(proxy => proxy.resetOpenConnections());
    await sleep(50);
    assert.equal((await deliveryFleet.sendOrder(0, "after-idle-reset")).outcome, "complete");
});

// Last, because the proxies cannot listen again.
test("if a target refuses connections, another serves the request, or it is refused with 3007 as not run", async () => {
    deliveryFleet.proxies[0]?.close();
    for (let index = 0; index < 8; index++) {
        assert.equal((await deliveryFleet.sendOrder(0, `one-left-${index}`)).outcome, "complete");
    }
    const upload = await deliveryFleet.send(0, "one-left-upload", { method: "POST", body: Buffer.alloc(300_000) });
    assert.equal(upload.outcome, "complete", "a body that has not begun to stream goes to another target");
    deliveryFleet.proxies[1]?.close();
    for (
        const record of [await deliveryFleet.send(0, "none-left"), await deliveryFleet.sendOrder(0, "none-left-order")]
    ) {
        assert.deepEqual([record.code, record.outcome], [3007, "not-run"]);
        assert.equal(deliveryFleet.runsOf(record.marker).length, 0);
    }
});
