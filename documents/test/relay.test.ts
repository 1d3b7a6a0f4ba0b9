import { PartitionableFleet } from "@pistachioreel/testing";
import assert from "node:assert/strict";
import { writeFileSync } from "node:fs";
import { join } from "node:path";
import { after, afterEach, before, test } from "node:test";

/** Six hosts in one zone: two of them watch the store and the others depend on links. */
const HOSTS = 6;
let hosts: PartitionableFleet;
let changes = 0;

interface HostStatus {
    readonly ready: boolean;
    readonly notReadyBecause?: string;
    readonly documents: { readonly config: number; };
    readonly storeCalls: { readonly read: number; readonly watch: number; };
}

before(async () => {
    hosts = await PartitionableFleet.start({ zones: Array.from({ length: HOSTS }, () => "tbilisi-a") });
});

afterEach(async () => {
    await hosts.fleet.setStoreFault({ mode: "none" });
    hosts.heal();
    await waitForVersion(await newestVersion());
});

after(() => hosts?.stop());

/** Rules that differ from all before; `paddingBytes` makes them large. */
function nextRules(paddingBytes = 0): string {
    const workspaces = { bank: { rate: 10_000 + ++changes, burst: 10_000 } };
    const route = (path: string) => ({ path, methods: ["GET"], service: "schedule", idempotent: true });
    const routes = [route("/visits"), route(`/padding-${changes}${"x".repeat(paddingBytes)}`)];
    return JSON.stringify({ deployment: "test", services: { schedule: {} }, routes, workspaces });
}

async function newestVersion(): Promise<number> {
    const all = await Promise.all(Array.from({ length: HOSTS }, (_, index) => hosts.status<HostStatus>(index)));
    return Math.max(...all.map(({ documents }) => documents.config));
}

function waitForVersion(version: number, of?: number[]): Promise<number> {
    const check = ({ documents }: HostStatus) => documents.config >= version;
    return hosts.waitForAll<HostStatus>(`config ${version}`, check, of === undefined ? {} : { hosts: of });
}

test("only the two watchers of a zone call the store for documents, and all get each change", async () => {
    await new Promise(resolve => setTimeout(resolve, 2_000));
    const calls = async () => Promise.all(Array.from({ length: HOSTS }, (_, i) => hosts.status<HostStatus>(i)));
    const before = await calls();
    await new Promise(resolve => setTimeout(resolve, 5_000));
    const watches = (await calls()).map(({ storeCalls }, index) =>
        storeCalls.watch - (before[index]?.storeCalls.watch ?? 0)
    );
    assert.equal(watches.filter(count => count > 0).length, 2, `watches in 5 s: ${watches.join(" ")}`);
    const version = await newestVersion() + 1;
    await hosts.fleet.apply(nextRules());
    await waitForVersion(version);
});

test("a configuration of several MB is split and arrives whole over links", async () => {
    const version = await newestVersion() + 1;
    await hosts.fleet.apply(nextRules(3_000_000));
    await waitForVersion(version);
});

test("a restarted host takes the newest version from peers while the store is down", async () => {
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

test("a host that was cut off does not bring its old version back", async () => {
    hosts.partition(host => host === 0 ? 1 : 0);
    const version = await newestVersion() + 1;
    await hosts.fleet.apply(nextRules());
    await waitForVersion(version, [1, 2, 3, 4, 5]);
    await hosts.fleet.setStoreFault({ mode: "down" });
    hosts.heal();
    await waitForVersion(version);
});

test("of operators that race, each is accepted in turn or gets a conflict, and no accepted change is lost", async () => {
    const version = await newestVersion();
    const results = await Promise.allSettled([0, 1, 2, 3].map(operator => applyOwn(operator)));
    const accepted = results.filter(result => result.status === "fulfilled" && /accepted/.test(result.value)).length;
    for (const result of results) {
        assert.ok(result.status === "fulfilled" || /PR2002/.test(String(result.reason)), JSON.stringify(result));
    }
    process.stdout.write(`race: ${accepted} of ${results.length} accepted\n`);
    assert.ok(accepted > 0);
    await waitForVersion(version + accepted);
    assert.equal(await newestVersion(), version + accepted);
});

/** Applies rules of its own file; the fleet's `apply` uses one file for all. */
function applyOwn(operator: number): Promise<string> {
    const file = join(hosts.fleet.directory, `rules-${operator}.jsonc`);
    writeFileSync(file, nextRules());
    const inventory = join(hosts.fleet.directory, "inventory.csv");
    return hosts.fleet.runOperatorCommand("apply", "--inventory", inventory, "--rules", file);
}

test("a commit whose reply is lost is found in the store and takes effect once", async () => {
    const version = await newestVersion();
    await hosts.fleet.setStoreFault({ mode: "lose-reply" });
    await hosts.fleet.apply(nextRules());
    await hosts.fleet.setStoreFault({ mode: "none" });
    await waitForVersion(version + 1);
    assert.equal(await newestVersion(), version + 1);
});
