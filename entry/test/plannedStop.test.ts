import { DeliveryFleet } from "@pistachioreel/testing";
import assert from "node:assert/strict";
import { once } from "node:events";
import { get, type IncomingMessage } from "node:http";
import { after, before, test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";

const HOSTS = 10;
const DRAIN_TIMEOUT_MS = 4_000;
const CALLERS = 12;
const LIST_LAG_MS = 300;
const LOOKUP_LIFETIME_MS = 1_000;
let deliveryFleet: DeliveryFleet;

before(async () => {
    deliveryFleet = await DeliveryFleet.start({ hosts: HOSTS, drainTimeoutMs: DRAIN_TIMEOUT_MS });
});

after(() => deliveryFleet?.stop());

async function stopHost(index: number): Promise<{ exitCode: number | null; tookMs: number; }> {
    const startedAt = performance.now();
    const exitCode = await deliveryFleet.fleet.hosts[index]?.end("SIGTERM") ?? null;
    return { exitCode, tookMs: performance.now() - startedAt };
}

async function replaceHost(index: number): Promise<void> {
    const stopping = stopHost(index);
    // The platform's list is updated late, so callers still send requests to the host.
    await sleep(LIST_LAG_MS);
    await deliveryFleet.fleet.publishHosts(listed => listed !== index);
    const { exitCode, tookMs } = await stopping;
    assert.equal(exitCode, 0);
    assert.ok(tookMs < DRAIN_TIMEOUT_MS + 1_000, `host ${index} took ${tookMs} ms`);
    await deliveryFleet.fleet.startHost(index);
    await deliveryFleet.fleet.waitUntilReady(index);
    await deliveryFleet.fleet.publishHosts();
}

/** Sends requests to the hosts returned by lookups; one refused as not run is retried at the next host. */
async function runCaller(name: string, isOver: () => boolean): Promise<void> {
    let hosts: string[] = [];
    let lookedUpAt = -Infinity;
    for (let index = 0; !isOver(); index++) {
        if (performance.now() - lookedUpAt > LOOKUP_LIFETIME_MS) {
            hosts = await lookUp(index);
            lookedUpAt = performance.now();
        }
        const isOrder = index % 10 === 0;
        const path = isOrder ? "/orders" : "/stock";
        const sent = { path, method: isOrder ? "POST" : "GET", isIdempotent: !isOrder } as const;
        for (let tries = 0; tries < hosts.length; tries++) {
            const { outcome } = await deliveryFleet.send(0, `${name}-${index}`, { ...sent, host: hosts[tries] });
            if (outcome !== "not-run") {
                break;
            }
        }
        await sleep(20);
    }
}

async function lookUp(index: number): Promise<string[]> {
    for (let offset = 0; offset < HOSTS; offset++) {
        const url = `http://${deliveryFleet.fleet.callersAddressOf((index + offset) % HOSTS)}/v1/lookup`;
        const response = await fetch(url).catch(() => undefined);
        if (response !== undefined) {
            return (await response.json() as { hosts: string[]; }).hosts;
        }
    }
    throw new Error("no host responds to lookups");
}

async function openStream(host: number, marker: string): Promise<IncomingMessage> {
    const request = get(`http://${deliveryFleet.fleet.callersAddressOf(host)}/stock`, {
        headers: { "x-marker": marker },
    });
    return (await once(request, "response"))[0] as IncomingMessage;
}

test("a stopping host finishes running and streaming requests and closes their connections", async () => {
    await deliveryFleet.setBehaviour({ responseBytes: 8_000_000 });
    const stream = await openStream(0, "stream");
    await deliveryFleet.setBehaviour({ responseBytes: 0, workMs: 1_000 });
    const running = Promise.all([openStream(0, "running"), deliveryFleet.sendOrder(0, "running-order")]);
    await sleep(200);
    const stopped = stopHost(0);
    await sleep(100);
    assert.equal((await fetch(`http://${deliveryFleet.fleet.adminAddressOf(0)}/readyz`)).status, 503);
    let bytes = 0;
    for await (const chunk of stream) {
        bytes += (chunk as Buffer).length;
    }
    assert.equal(bytes, 8_000_000);
    const [response, order] = await running;
    response.resume();
    assert.equal(
        response.headers.connection,
        "close",
        "a response begun during the stop must close the connection",
    );
    assert.equal(order.outcome, "complete");
    const { exitCode, tookMs } = await stopped;
    assert.equal(exitCode, 0);
    assert.ok(tookMs < DRAIN_TIMEOUT_MS, `took ${tookMs} ms`);
    await deliveryFleet.setBehaviour({ workMs: 5 });
    const repeat = await deliveryFleet.sendOrder(1, "running-order");
    assert.equal(repeat.outcome, "complete", "the outcome must have been recorded before the host stopped");
    assert.equal(deliveryFleet.runsOf("running-order").length, 1);
    await deliveryFleet.fleet.startHost(0);
    await deliveryFleet.fleet.waitUntilReady(0);
});

test("a rolling replacement of ten hosts under load interrupts no request", async () => {
    await deliveryFleet.setBehaviour({ workMs: 20 });
    deliveryFleet.caller.records.length = 0;
    let isOver = false;
    const callers = Promise.all(
        Array.from({ length: CALLERS }, (_, index) => runCaller(`rolling-${index}`, () => isOver)),
    );
    for (let index = 0; index < HOSTS; index++) {
        await replaceHost(index);
    }
    isOver = true;
    await callers;
    const records = deliveryFleet.caller.records;
    const interrupted = records.filter(({ outcome }) => outcome === "unknown" || outcome === "wrong");
    process.stdout.write(`rolling: requests=${records.length} cut=${interrupted.length}\n`);
    assert.ok(records.length > 1_000);
    assert.deepEqual(interrupted, []);
});

test("a target marked as leaving gets no new requests after two seconds and finishes running ones", async () => {
    await deliveryFleet.setBehaviour({ workMs: 2_500 }, [0]);
    const running = deliveryFleet.send(0, "on-leaving-target");
    await sleep(100);
    assert.ok(deliveryFleet.runsOf("on-leaving-target")[0]?.target.startsWith(deliveryFleet.targets[0]?.address ?? ""));
    deliveryFleet.targets[0] = {
        ...deliveryFleet.targets[0] as (typeof deliveryFleet.targets)[number],
        state: "leaving",
    };
    await deliveryFleet.fleet.apply();
    await sleep(2_000);
    const graceEndedAt = Date.now();
    for (let host = 0; host < HOSTS; host++) {
        assert.equal((await deliveryFleet.send(host, `after-leaving-${host}`)).outcome, "complete");
    }
    assert.equal((await running).outcome, "complete");
    const lateStarts = deliveryFleet.fleet.records().filter(({ event, target, time }) =>
        event === "start" && time > graceEndedAt && target.startsWith(deliveryFleet.targets[0]?.address ?? "")
    );
    assert.deepEqual(lateStarts, []);
});
