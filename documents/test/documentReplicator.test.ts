import { PartitionableFleet } from "@pistachioreel/testing";
import assert from "node:assert/strict";
import { writeFileSync } from "node:fs";
import { join } from "node:path";
import { after, afterEach, before, test } from "node:test";

/** With six hosts in one zone, two watch the store and the others receive documents from peers. */
const HOST_COUNT = 6;
let partitionableFleet: PartitionableFleet;
let changeCount = 0;

interface HostStatus {
    readonly ready: boolean;
    readonly notReadyBecause?: string;
    readonly documents: { readonly config: number; };
    readonly storeCalls: { readonly read: number; readonly watch: number; };
}

before(async () => {
    partitionableFleet = await PartitionableFleet.start({
        zones: Array.from({ length: HOST_COUNT }, () => "tbilisi-a"),
    });
});

afterEach(async () => {
    await partitionableFleet.fleet.setStoreFault({ mode: "none" });
    partitionableFleet.heal();
    await waitForVersion(await newestVersion());
});

after(() => partitionableFleet?.stop());

/** Returns rules that differ from all earlier ones; `paddingBytes` increases their size. */
function newRules(paddingBytes = 0): string {
    const workspaces = { bank: { rate: 10_000 + ++changeCount, burst: 10_000 } };
    const route = (path: string) => ({ path, methods: ["GET"], service: "schedule", idempotent: true });
    const routes = [route("/visits"), route(`/padding-${changeCount}${"x".repeat(paddingBytes)}`)];
    return JSON.stringify({ deployment: "test", services: { schedule: {} }, routes, workspaces });
}

async function newestVersion(): Promise<number> {
    const statuses = await Promise.all(
        Array.from({ length: HOST_COUNT }, (_, index) => partitionableFleet.status<HostStatus>(index)),
    );
    return Math.max(...statuses.map(({ documents }) => documents.config));
}

function waitForVersion(version: number, hostIndexes?: number[]): Promise<number> {
    const hasVersion = ({ documents }: HostStatus) => documents.config >= version;
    return partitionableFleet.waitForAll<HostStatus>(
        `config ${version}`,
        hasVersion,
        hostIndexes === undefined ? {} : { hosts: hostIndexes },
    );
}

test("only the two watchers of a zone watch the store, and all hosts receive each change", async () => {
    await new Promise(resolve => setTimeout(resolve, 2_000));
    const readStatuses = async () =>
        Promise.all(Array.from({ length: HOST_COUNT }, (_, i) => partitionableFleet.status<HostStatus>(i)));
    const statusesBefore = await readStatuses();
    await new Promise(resolve => setTimeout(resolve, 5_000));
    const watchCounts = (await readStatuses()).map(({ storeCalls }, index) =>
        storeCalls.watch - (statusesBefore[index]?.storeCalls.watch ?? 0)
    );
    assert.equal(watchCounts.filter(count => count > 0).length, 2, `watches in 5 s: ${watchCounts.join(" ")}`);
    const version = await newestVersion() + 1;
    await partitionableFleet.fleet.apply(newRules());
    await waitForVersion(version);
});

test("a configuration of several MB is split into chunks and replicated completely", async () => {
    const version = await newestVersion() + 1;
    await partitionableFleet.fleet.apply(newRules(3_000_000));
    await waitForVersion(version);
});

test("a restarted host pulls the newest version from peers while the store is down", async () => {
    const version = await newestVersion();
    await partitionableFleet.fleet.setStoreFault({ mode: "down" });
    await partitionableFleet.fleet.hosts[5]?.end("SIGKILL");
    await partitionableFleet.fleet.startHost(5);
    assert.match((await partitionableFleet.status<HostStatus>(5)).notReadyBecause ?? "", /the store does not answer/);
    await partitionableFleet.waitForAll<HostStatus>("ready with the newest version", ({ ready, documents }) => {
        assert.ok(!ready || documents.config >= version, "ready with an old version");
        return ready;
    }, { hosts: [5] });
});

test("an outdated host does not spread its old version after a network partition heals", async () => {
    partitionableFleet.partition(host => host === 0 ? 1 : 0);
    const version = await newestVersion() + 1;
    await partitionableFleet.fleet.apply(newRules());
    await waitForVersion(version, [1, 2, 3, 4, 5]);
    await partitionableFleet.fleet.setStoreFault({ mode: "down" });
    partitionableFleet.heal();
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
    const file = join(partitionableFleet.fleet.directory, `rules-${operator}.jsonc`);
    writeFileSync(file, newRules());
    const inventory = join(partitionableFleet.fleet.directory, "inventory.csv");
    return partitionableFleet.fleet.runOperatorCommand("apply", "--inventory", inventory, "--rules", file);
}

test("a commit whose response is lost is read back from the store and takes effect once", async () => {
    const version = await newestVersion();
    await partitionableFleet.fleet.setStoreFault({ mode: "lose-reply" });
    await partitionableFleet.fleet.apply(newRules());
    await partitionableFleet.fleet.setStoreFault({ mode: "none" });
    await waitForVersion(version + 1);
    assert.equal(await newestVersion(), version + 1);
});
