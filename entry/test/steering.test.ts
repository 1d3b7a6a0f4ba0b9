import { Caller, type CallerRecord, Fleet, type LoopbackNetwork } from "@pistachioreel/testing";
import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";

const TARGET_GROUP = 2;
const LOCATION = { availabilityZone: "perth-a", region: "perth" };
const RULES = JSON.stringify({
    deployment: "steering-test",
    services: { catalogue: { deadlineMs: 3_000, attemptTimeoutMs: 1_000 } },
    routes: [{ path: "/hours", methods: ["GET"], service: "catalogue", idempotent: true, open: true }],
    workspaces: {},
});

let fleet: Fleet;
let caller: Caller;
let sequence = 0;

function targetsOf(network: LoopbackNetwork) {
    return [0, 1, 2].map(index => ({
        address: network.address(TARGET_GROUP, index),
        port: 8080,
        ...LOCATION,
        service: "catalogue",
        slots: 4,
        behaviour: { workMs: 20 },
    }));
}

before(async () => {
    fleet = await Fleet.start({ hosts: [LOCATION, LOCATION], targets: targetsOf, rules: RULES });
    caller = new Caller();
    await sleep(2_000);
});

after(async () => {
    await caller?.close();
    await fleet?.stop();
});

/** Sends requests to each host for `durationMs`, `concurrency` at a time; returns their records. */
async function sendFor(durationMs: number, concurrency: number): Promise<CallerRecord[]> {
    const endsAt = Date.now() + durationMs;
    const firstIndex = caller.records.length;
    const sendUntilEnd = async (index: number) => {
        while (Date.now() < endsAt) {
            await caller.send({
                host: fleet.callersAddressOf(index),
                path: "/hours",
                marker: `steering-${++sequence}`,
            });
        }
    };
    await Promise.all(
        [0, 1].flatMap(index => Array.from({ length: concurrency }, () => sendUntilEnd(index))),
    );
    return caller.records.slice(firstIndex);
}

/** Number of retries among the requests that the hosts completed since a time. */
async function extraAttemptsSince(time: number): Promise<number> {
    let extra = 0;
    for (const index of [0, 1]) {
        const response = await request(`http://${fleet.adminAddressOf(index)}/v1/timeline`);
        const events = await response.body.json() as { time: number; fields?: { attempts?: number; }; }[];
        events.filter(event => event.time >= time).forEach(({ fields }) => extra += (fields?.attempts ?? 1) - 1);
    }
    return extra;
}

test("two hosts share the slots of a zone without overloading a target", async t => {
    const startedAt = Date.now();
    const records = await sendFor(3_000, 5);
    const refused = records.filter(record => record.outcome !== "complete").length;
    const extra = await extraAttemptsSince(startedAt);
    t.diagnostic(`${records.length} requests, ${refused} refused, ${extra} retries after full targets`);
    assert.ok(refused <= records.length * 0.001, `${refused} of ${records.length} refused`);
});

test("a draining target receives no requests after two seconds", async t => {
    const [draining] = [...fleet.targets.keys()];
    await fleet.setBehaviour(draining as string, { drains: true });
    await sendFor(2_000, 2);
    const startedAt = Date.now();
    const records = await sendFor(2_000, 2);
    const extra = await extraAttemptsSince(startedAt);
    t.diagnostic(`${records.length} requests, ${extra} retries after the draining target`);
    assert.equal(extra, 0);
    assert.ok(records.every(record => record.outcome === "complete"));
    await fleet.setBehaviour(draining as string, { drains: false });
});
