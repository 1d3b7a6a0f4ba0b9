import { Caller, PartitionableFleet } from "@pistachioreel/testing";
import assert from "node:assert/strict";
import { after, afterEach, before, test } from "node:test";

/** Two hosts in each of three zones; the store is in the first region. */
const ZONES = ["tbilisi-a", "tbilisi-a", "kutaisi-a", "kutaisi-a", "batumi-a", "batumi-a"];
const ALL = ZONES.map((_, index) => index);
const FRESHNESS_BOUND_MS = 5_000;
/** Time for one more heartbeat and for a request on a busy machine. */
const TOLERANCE_MS = 500;
let partitionableFleet: PartitionableFleet;
let caller: Caller;

interface HostStatus {
    readonly documents: { readonly keys: number; };
    readonly freshness: { readonly fresh: boolean; };
    readonly roster: { readonly ownsShare: boolean; readonly complete: boolean; readonly size: number; };
}

before(async () => {
    partitionableFleet = await PartitionableFleet.start({ zones: ZONES });
    caller = new Caller();
    await waitForHealth();
});

afterEach(async () => {
    await partitionableFleet.fleet.setStoreFault({ mode: "none" });
    partitionableFleet.heal();
    await waitForHealth();
});

after(async () => {
    await caller?.close();
    await partitionableFleet?.stop();
});

function waitForHealth(): Promise<number> {
    return partitionableFleet.waitForAll<HostStatus>(
        "fresh, with a share of the complete roster",
        ({ freshness, roster }) =>
            freshness.fresh && roster.complete && roster.ownsShare && roster.size === ZONES.length,
        { timeoutMs: 30_000 },
    );
}

async function issueKey(): Promise<{ id: string; key: string; }> {
    const issued = await partitionableFleet.fleet.issueKey("bank");
    const versions = await Promise.all(ALL.map(index => partitionableFleet.status<HostStatus>(index)));
    const newest = Math.max(...versions.map(({ documents }) => documents.keys));
    await partitionableFleet.waitForAll<HostStatus>(
        "the key is known",
        ({ documents }) => documents.keys >= Math.max(1, newest),
    );
    for (const index of ALL) {
        while ((await sendRequest(index, issued.key)).status !== 200) {
            await new Promise(resolve => setTimeout(resolve, 20));
        }
    }
    return issued;
}

function sendRequest(host: number, key?: string) {
    const path = key === undefined ? "/notices" : "/visits";
    return caller.send({
        host: partitionableFleet.fleet.callersAddressOf(host),
        path,
        marker: `${Math.random()}`,
        key,
        timeoutMs: 2_000,
    });
}

/** Sends a request to each host every 50 ms. Returns when each last accepted the key, in ms after the start, or -1. */
async function lastServed(key: string, of: readonly number[], durationMs: number): Promise<number[]> {
    const startedAt = performance.now();
    const last = of.map(() => -1);
    while (performance.now() - startedAt < durationMs) {
        await Promise.all(of.map(async (host, index) => {
            const sentAt = performance.now();
            if ((await sendRequest(host, key)).status === 200) {
                last[index] = sentAt - startedAt;
            }
        }));
        await new Promise(resolve => setTimeout(resolve, 50));
    }
    return last;
}

test("while the store is down for all hosts, keys are accepted indefinitely", async () => {
    const { key } = await issueKey();
    await partitionableFleet.fleet.setStoreFault({ mode: "down" });
    const last = await lastServed(key, ALL, 3 * FRESHNESS_BOUND_MS);
    assert.ok(last.every(ms => ms > 3 * FRESHNESS_BOUND_MS - 1_000), `last served after ${last.join(" ")} ms`);
});

test("a zone cut off from store and peers refuses keys within the bound and serves open routes", async () => {
    const { id, key } = await issueKey();
    partitionableFleet.partition(host => ZONES[host] === "batumi-a" ? 1 : 0);
    const withdrawn = partitionableFleet.fleet.runOperatorCommand("key", "withdraw", "--id", id);
    const served = await lastServed(key, ALL, FRESHNESS_BOUND_MS + 2_000);
    process.stdout.write(`withdrawn in a partition: last served ms ${served.map(Math.round).join(" ")}\n`);
    assert.ok(served.every(ms => ms < FRESHNESS_BOUND_MS + TOLERANCE_MS), `last served after ${served.join(" ")} ms`);
    assert.equal((await sendRequest(4, key)).code, 3011);
    assert.equal((await sendRequest(0, key)).code, 3002);
    assert.equal((await sendRequest(4)).status, 200);
    assert.match(await withdrawn, /in force/);
});

test("when the store's region is lost, the other hosts still accept keys because they are a majority", async () => {
    const { key } = await issueKey();
    partitionableFleet.partition(host => ZONES[host] === "tbilisi-a" ? 0 : 1);
    const others = ALL.filter(host => ZONES[host] !== "tbilisi-a");
    const last = await lastServed(key, others, 2 * FRESHNESS_BOUND_MS);
    assert.ok(last.every(ms => ms > 2 * FRESHNESS_BOUND_MS - 1_000), `last served after ${last.join(" ")} ms`);
});

test("a withdrawal that cannot reach most hosts is reported as pending and completes once it can", async () => {
    const { id, key } = await issueKey();
    partitionableFleet.partition(host => ZONES[host] === "tbilisi-a" ? 0 : 1);
    await assert.rejects(partitionableFleet.fleet.runOperatorCommand("key", "withdraw", "--id", id), /PR2008/);
    assert.equal((await sendRequest(0, key)).code, 3002);
    partitionableFleet.heal();
    assert.match(
        await partitionableFleet.fleet.runOperatorCommand("key", "withdraw", "--id", id),
        /in force on all 6 hosts/,
    );
    for (const host of ALL) {
        assert.equal((await sendRequest(host, key)).code, 3002);
    }
});

test("a host that resumes after a pause refuses a key that was withdrawn meanwhile", async () => {
    const { id, key } = await issueKey();
    partitionableFleet.fleet.hosts[3]?.pause();
    assert.match(
        await partitionableFleet.fleet.runOperatorCommand("key", "withdraw", "--id", id),
        /in force; hosts that do not answer/,
    );
    const response = sendRequest(3, key);
    await new Promise(resolve => setTimeout(resolve, 200));
    partitionableFleet.fleet.hosts[3]?.resume();
    assert.notEqual((await response).status, 200);
    const served = await lastServed(key, [3], 1_000);
    assert.deepEqual(served, [-1]);
});
