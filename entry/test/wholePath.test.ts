import { Caller, checkRecords, Fleet, type LoopbackNetwork } from "@pistachioreel/testing";
import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { after, before, test } from "node:test";

const TARGET_GROUP = 2;
let fleet: Fleet;
let caller: Caller;
let key: { id: string; key: string; };

function targetsOf(network: LoopbackNetwork) {
    const locations = [["tbilisi-a", "tbilisi"], ["kutaisi-a", "kutaisi"], ["batumi-a", "batumi"]] as const;
    return ["schedule", "signature", "documents"].flatMap((service, group) =>
        locations.map(([availabilityZone, region], index) => ({
            address: network.address(TARGET_GROUP, group * locations.length + index),
            port: 8080,
            availabilityZone,
            region,
            service,
            slots: 4,
        }))
    );
}

before(async () => {
    fleet = await Fleet.start({
        hosts: [{ availabilityZone: "tbilisi-a", region: "tbilisi" }, {
            availabilityZone: "kutaisi-a",
            region: "kutaisi",
        }],
        targets: targetsOf,
        rules: readFileSync("examples/sakartvelo/rules.jsonc", "utf8"),
    });
    caller = new Caller();
    key = await fleet.issueKey("tbilisi-bank");
    await waitForKey();
});

after(async () => {
    await caller?.close();
    await fleet?.stop();
});

async function waitForKey(): Promise<void> {
    const deadline = Date.now() + 5_000;
    for (const index of [0, 1]) {
        while ((await send("probe", { host: fleet.callersAddressOf(index) })).outcome !== "complete") {
            assert.ok(Date.now() < deadline, "the key is not accepted");
        }
    }
}

function send(marker: string, changes: Partial<Parameters<Caller["send"]>[0]> = {}) {
    return caller.send({ host: fleet.callersAddressOf(0), path: "/visits/today", marker, key: key.key, ...changes });
}

test("a request is served end to end and the caller gets the response to its own request", async () => {
    assert.equal((await send("end-to-end")).outcome, "complete");
    const upload = await send("upload", { path: "/scans", method: "POST", body: Buffer.alloc(3_000_000, 1) });
    assert.equal(upload.outcome, "complete");
});

test("requests without a valid key, with a key in the query or to unknown routes are refused as not run", async () => {
    const refusals = [
        [3001, await send("no-key", { key: undefined })],
        [3002, await send("wrong-key", { key: `prk_${"x".repeat(43)}` })],
        [3003, await send("query-key", { path: `/visits/today?key=${key.key}` })],
        [3004, await send("no-route", { path: "/nowhere" })],
        [3010, await send("no-idempotency-key", { path: "/signatures", method: "POST" })],
    ] as const;
    for (const [code, record] of refusals) {
        assert.deepEqual([record.code, record.outcome], [code, "not-run"], record.marker);
    }
});

test("an open route needs no key", async () => {
    assert.equal((await send("open", { path: "/notices", key: undefined })).outcome, "complete");
});

test("no target receives a caller's key, even in other headers", async () => {
    await send("leak", { headers: { "x-copy": key.key, "x-workspace": "somebody-else" } });
    const check = checkRecords(caller.records, fleet.records(), [key.key]);
    assert.equal(check.leakedKeys, 0);
    const record = fleet.records().find(({ marker, event }) => marker === "leak" && event === "start");
    assert.equal(record?.workspace, "tbilisi-bank");
});

test("the host's log contains no key", () => {
    assert.ok(!fleet.hosts.some(host => host.lines.some(line => line.includes(key.key))));
});
