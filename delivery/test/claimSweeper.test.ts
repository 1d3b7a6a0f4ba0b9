import { HttpObjectStore } from "@pistachioreel/platform-store";
import { ChildProgram, LoopbackNetwork } from "@pistachioreel/testing";
import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import { ClaimSweeper } from "../src/claimSweeper.js";

const PORT = 7000;
const DAY_MS = 24 * 3_600_000;
const CLAIMS = 200;
const HOSTS = 3;
let program: ChildProgram;
let store: HttpObjectStore;

before(async () => {
    const address = new LoopbackNetwork().address(0, 0);
    const args = ["dist/standIn.cjs", "store", "--address", address, "--port", String(PORT)];
    program = await new ChildProgram(process.execPath, args, { readyLine: "listening" }).waitUntilStarted();
    store = new HttpObjectStore(`http://${address}:${PORT}`);
});

after(async () => {
    await store?.close();
    await program?.end("SIGKILL");
});

async function writeClaim(index: number, ageMs: number): Promise<string> {
    const name = `once/growers/${(index * 7919 % 4096).toString(16).padStart(3, "0")}-${index}`;
    const claim = { nonce: "n", host: "h", fingerprint: "f", state: "done", claimedAt: Date.now() - ageMs };
    assert.ok((await store.put(name, JSON.stringify(claim), { absent: true })).isOk());
    return name;
}

test("one of the hosts deletes claims older than a day, keeps younger ones, and limits its store calls", async () => {
    const indexes = Array.from({ length: CLAIMS }, (_, index) => index);
    const kept = await Promise.all(indexes.map(index => writeClaim(index, DAY_MS)));
    await Promise.all(indexes.map(index => writeClaim(index + CLAIMS, DAY_MS + 2 * 3_600_000)));
    const callsPerSecond = 1_000;
    const opts = { store, workspaces: () => ["growers"], observe: () => undefined, callsPerSecond };
    const startedAt = performance.now();
    const callsBefore = store.calls.read + store.calls.write;
    const { signal } = new AbortController();
    await Promise.all(
        Array.from(
            { length: HOSTS },
            (_, index) => new ClaimSweeper({ ...opts, share: () => ({ index, count: HOSTS }) }).sweepOnce(signal),
        ),
    );
    const seconds = (performance.now() - startedAt) / 1_000;
    const calls = store.calls.read + store.calls.write - callsBefore;
    assert.deepEqual((await store.list("once/")).unwrapOr([]).toSorted(), kept.toSorted());
    assert.equal(
        calls,
        16 + 2 * CLAIMS + CLAIMS,
        "a list for each prefix, a read for each claim, a delete for each old one",
    );
    assert.ok(calls / seconds <= callsPerSecond, `${calls} calls in ${seconds} s`);
});
