import { Caller, countOverAdmitted, PartitionableFleet } from "@pistachioreel/testing";
import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";

const LIMIT = { rate: 100, burst: 20 };
const HOSTS = [0, 1, 2, 3];
/** Requests per second to each host; more than it may admit, so that every available token is used. */
const OVERLOAD_PER_SECOND = 150;
const SETTLE_MS = 4_000;
const RULES = JSON.stringify({
    deployment: "test",
    services: { schedule: {} },
    routes: [{ path: "/visits", methods: ["GET"], service: "schedule", idempotent: true }],
    workspaces: { bank: LIMIT },
});
let partitionableFleet: PartitionableFleet;
let caller: Caller;
let key: string;

before(async () => {
    const zones = ["tbilisi-a", "tbilisi-a", "tbilisi-b", "tbilisi-b"];
    partitionableFleet = await PartitionableFleet.start({ zones, rules: RULES });
    caller = new Caller();
    key = (await partitionableFleet.fleet.issueKey("bank")).key;
    await sleep(SETTLE_MS);
});

after(async () => {
    await caller?.close();
    await partitionableFleet?.stop();
});

/** Sends requests to each of the hosts at a constant rate for a time; returns how many were completed. */
async function sendLoad(name: string, hosts: readonly number[], durationMs: number, perSecond = OVERLOAD_PER_SECOND) {
    const first = caller.records.length;
    const startedAt = performance.now();
    const sent: Promise<unknown>[] = [];
    for (let count = 0; performance.now() - startedAt < durationMs;) {
        for (; count < (performance.now() - startedAt) * perSecond / 1_000; count++) {
            sent.push(...hosts.map(host =>
                caller.send({
                    host: partitionableFleet.fleet.callersAddressOf(host),
                    path: "/visits",
                    marker: `${name}-${host}-${count}`,
                    key,
                    timeoutMs: 2_000,
                })
            ));
        }
        await sleep(5);
    }
    await Promise.all(sent);
    return caller.records.slice(first).filter(record => record.outcome === "complete").length;
}

function assertWithinLimit(): void {
    assert.equal(countOverAdmitted(caller.records, partitionableFleet.fleet.records(), LIMIT), 0, "over_admitted");
}

// Guards against shares that stay with idle hosts. The test of a partitioned borrower also depends on this lending.
test("a host that receives all requests gets the rate of the whole fleet and no more", async () => {
    const admitted = await sendLoad("skewed", [0], 4_000);
    assertWithinLimit();
    assert.ok(admitted >= 4 * LIMIT.rate * 0.8, `admitted ${admitted}`);
});

// Guards against a borrower that keeps using loans after their owners have reclaimed them.
test("a partitioned host does not keep borrowed tokens", async () => {
    await sendLoad("before-cut", [0], 1_500);
    partitionableFleet.setPeerFault((opener, acceptor) => ({
        mode: opener === 0 || acceptor === 0 ? "silent" : "pass",
    }));
    await sendLoad("cut", HOSTS, 6_000);
    assertWithinLimit();
    partitionableFleet.heal();
    await sleep(SETTLE_MS);
});

// Guards against a process that uses expired loans after a pause and refills its tokens for the time of the pause.
test("a host that was paused does not use expired loans", async () => {
    await sendLoad("before-pause", [0], 1_500);
    partitionableFleet.fleet.hosts[0]?.pause();
    await sendLoad("paused", [1, 2, 3], 3_000);
    partitionableFleet.fleet.hosts[0]?.resume();
    await sendLoad("resumed", HOSTS, 3_000);
    assertWithinLimit();
});

// Guards against a new process that lends tokens which its predecessor has already lent.
test("a host that was killed and replaced does not lend twice", async () => {
    const kept = sendLoad("kept", [0], 7_000);
    await sleep(2_000);
    // A borrower that connects to the new process drops the old loans at once, so its links are cut.
    partitionableFleet.setPeerFault((opener, acceptor) => ({
        mode: opener === 0 || acceptor === 0 ? "refuse" : "pass",
    }));
    await Promise.all([1, 2, 3].map(host => partitionableFleet.fleet.hosts[host]?.end("SIGKILL")));
    await Promise.all([1, 2, 3].map(host => partitionableFleet.fleet.startHost(host)));
    await Promise.all([kept, sendLoad("replaced", [1, 2, 3], 4_000)]);
    assertWithinLimit();
    partitionableFleet.heal();
    await sleep(SETTLE_MS);
});

// Guards against loans that are counted twice when their messages are lost or delayed or links break.
test("lost messages and broken links do not lead to more admissions than the limit", async () => {
    const directions = ["silent-to-client", "silent-to-server", "pass", "refuse"] as const;
    for (const [round, mode] of directions.entries()) {
        await sendLoad(`loss-skewed-${round}`, [round], 800);
        partitionableFleet.setPeerFault((opener, acceptor) =>
            (opener + acceptor + round) % 2 === 0 ? { mode, delayMs: 150 } : { mode: "pass" }
        );
        await sendLoad(`loss-${round}`, HOSTS, 1_500);
    }
    assertWithinLimit();
});
