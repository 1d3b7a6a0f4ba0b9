import { PartitionableFleet } from "@pistachioreel/testing";
import assert from "node:assert/strict";
import { writeFileSync } from "node:fs";
import { join } from "node:path";
import { after, afterEach, before, test } from "node:test";

/** With six hosts in one zone, two watch the store and the others receive documents from peers. */
const HOST_COUNT = 6;
let hosts: PartitionableFleet;
let changeCount = 0;

interface HostStatus {
    readonly ready: boolean;
    readonly notReadyBecause?: string;
    readonly documents: { readonly config: number; };
    readonly storeCalls: { readonly read: number; readonly watch: number; };
}

before(async () => {
    hosts = await PartitionableFleet.start({ zones: Array.from({ length: HOST_COUNT }, () => "tbilisi-a") });
});

afterEach(async () => {
    await hosts.fleet.setStoreFault({ mode: "none" });
    hosts.heal();
    await waitForVersion(await newestVersion());
});

after(() => hosts?.stop());

/** Returns rules that differ from all earlier ones; `paddingBytes` increases their size. */
function newRules(paddingBytes = 0): string {
    const workspaces = { bank: { rate: 10_000 + ++changeCount, burst: 10_000 } };
    const route = (path: string) => ({ path, methods: ["GET"], service: "schedule", idempotent: true });
    const routes = [route("/visits"), route(`/padding-${changeCount}${"x".repeat(paddingBytes)}`)];
    return JSON.stringify({ deployment: "test", services: { schedule: {} }, routes, workspaces });
}

async function newestVersion(): Promise<number> {
    const all = await Promise.all(Array.from({ length: HOST_COUNT }, (_, index) => hosts.status<HostStatus>(index)));
    return Math.max(...all.map(({ documents }) => documents.config));
}

function waitForVersion(version: number, hostIndexes?: number[]): Promise<number> {
    const check = ({ documents }: HostStatus) => documents.config >= version;
    return hosts.waitForAll<HostStatus>(
        `config ${version}`,
        check,
        hostIndexes === undefined ? {} : { hosts: hostIndexes },
    );
}

test("only the two watchers of a zone watch the store, and all hosts receive each change", async () => {
    await new Promise(resolve => setTimeout(resolve, 2_000));
    const calls = async () => Promise.all(Array.from({ length: HOST_COUNT }, (_, i) => hosts.status<HostStatus>(i)));
    const before = await calls();
    await new Promise(resolve => setTimeout(resolve, 5_000));
    const watches = (await calls()).map(({ storeCalls }, index) =>
        storeCalls.watch - (before[index]?.storeCalls.watch ?? 0)
    );
    assert.equal(watches.filter(count => count > 0).length, 2, `watches in 5 s: ${watches.join(" ")}`);
    const version = await newestVersion() + 1;
    await hosts.fleet.apply(newRules());
    await waitForVersion(version);
});

test("a configuration of several MB is split into chunks and replicated completely", async () => {
    const version = await newestVersion() + 1;
    await hosts.fleet.apply(newRules(3_000_000));
    await waitForVersion(version);
});

test("a restarted host pulls the newest version from peers while the store is down", async () => {
    const version = await newestVersion();
    await hosts.fleet.setStoreFault({ mode: "down" });
    await hosts.fleet.hosts[5]?.end("SIGKILL");
    await hosts.fleet.startHost(5);
    assert.match((await hosts.status<HostStatus>(5)).notReadyBecause ?? "", /the store does not answer/);
    await hosts.waitForAll<HostStatus>("ready with the newest version", ({ ready, documents }) => {
        assert.ok(!ready || documents.config >= version, "ready with an old version");
        return ready;
    }, { hosts: [5] });
});

test("an outdated host does not spread its old version after a network partition heals", async () => {
    hosts.partition(host => host === 0 ? 1 : 0);
    const version = await newestVersion() + 1;
    await hosts.fleet.apply(newRules());
    await waitForVersion(version, [1, 2, 3, 4, 5]);
    await hosts.fleet.setStoreFault({ mode: "down" });
    hosts.heal();
    await waitForVersion(version);
});

test("concurrent changes of several operators are accepted or get a conflict, and no accepted one is lost", async () => {
    const version = await newestVersion();
    const results = await Promise.allSettled([0, 1, 2, 3].map(operator => applyFromOwnFile(operator)));
    const accepted = results.filter(result => result.status === "fulfilled" && /accepted/.test(result.value)).length;
    for (const result of results) {
        assert.ok(result.status === "fulfilled" || /PR2002/.test(String(result.reason)), JSON.stringify(result));
    }
    process.stdout.write(`race: ${accepted} of ${results.length} accepted\n`);
    assert.ok(accepted > 0);
    await waitForVersion(version + accepted);
    assert.equal(await newestVersion(), version + accepted);
});

/** Applies rules from a separate file for each operator, because the fleet's `apply` uses one file for all calls. */
function applyFromOwnFile(operator: number): Promise<string> {
    const file = join(hosts.fleet.directory, `rules-${operator}.jsonc`);
    writeFileSync(file, newRules());
    const inventory = join(hosts.fleet.directory, "inventory.csv");
    return hosts.fleet.operate("apply", "--inventory", inventory, "--rules", file);
}

test("a commit whose response is lost is read back from the store and takes effect once", async () => {
    const version = await newestVersion();
    await hosts.fleet.setStoreFault({ mode: "lose-reply" });
    await hosts.fleet.apply(newRules());
    await hosts.fleet.setStoreFault({ mode: "none" });
    await waitForVersion(version + 1);
    assert.equal(await newestVersion(), version + 1);
});
