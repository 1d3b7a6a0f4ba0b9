import { Fleet, type LoopbackNetwork, waitUntil } from "@pistachioreel/testing";
import assert from "node:assert/strict";
import { readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { after, before, test } from "node:test";
import { request } from "undici";

const LOCATIONS = [["tbilisi-a", "tbilisi"], ["kutaisi-a", "kutaisi"], ["batumi-a", "batumi"]] as const;
const SITES = { west: { availabilityZones: ["batumi-a", "kutaisi-a"] }, east: { regions: ["kutaisi"] } };
/** Number of blocks; they fill more parts than a host reads concurrently. */
const BLOCKS = 60_000;
let fleet: Fleet;

function targetsOf(network: LoopbackNetwork) {
    return ["schedule", "signature", "documents"].flatMap((service, group) =>
        LOCATIONS.map(([availabilityZone, region], index) => {
            return {
                address: network.address(2, group * 3 + index),
                port: 8080,
                availabilityZone,
                region,
                service,
                slots: 4,
            };
        })
    );
}

before(async () => {
    const rules = readFileSync("examples/sakartvelo/rules.jsonc", "utf8");
    fleet = await Fleet.start({
        hosts: LOCATIONS.map(([availabilityZone, region]) => ({ availabilityZone, region })),
        targets: targetsOf,
        rules: rules.replace('"workspaces": {', `"sites": ${JSON.stringify(SITES)}, "workspaces": {`),
    });
});

after(() => fleet?.stop());

interface LookupResponse {
    readonly status: number;
    readonly cacheControl: string;
    readonly body: { readonly hosts: string[]; readonly site?: string; readonly code?: number; };
}

async function lookup(client?: string, host = 0): Promise<LookupResponse> {
    const query = client === undefined ? "" : `?client=${encodeURIComponent(client)}`;
    const { statusCode: status, headers, body } = await request(
        `http://${fleet.callersAddressOf(host)}/v1/lookup${query}`,
    );
    const cacheControl = String(headers["cache-control"]);
    return { status, cacheControl, body: await body.json() as LookupResponse["body"] };
}

async function publishMap(site: string): Promise<{ parts: number; writtenParts: number; }> {
    const rows = Array.from({ length: BLOCKS }, (_, block) => `10.${block >> 8}.${block & 255}.0/24,${site}`);
    const file = join(fleet.directory, "blocks.csv");
    writeFileSync(file, ["block,site", ...rows, "2001:db8::/32,east"].join("\n"));
    return JSON.parse(await fleet.runOperatorCommand("blocks", "--map", file, "--json")) as {
        parts: number;
        writtenParts: number;
    };
}

test("without a map, a lookup ranks the zone of the responding host first and may be cached for 10 s", async () => {
    for (const index of [0, 1, 2]) {
        const { status, cacheControl, body } = await lookup("10.0.0.1", index);
        assert.deepEqual([status, cacheControl], [200, "private, max-age=10"]);
        assert.equal(body.hosts[0], fleet.callersAddressOf(index));
        assert.equal(body.hosts.length, 3);
    }
});

test("a client parameter that is not an address is refused with its result code", async () => {
    const { status, body } = await lookup("10.0.0");
    assert.deepEqual([status, body.code], [400, 3031]);
});

test("a map with an unknown site is rejected and changes nothing", async () => {
    await assert.rejects(publishMap("wst"), (error: { stdout?: string; }) => {
        const { failures } = JSON.parse(error.stdout ?? "{}") as { failures: { number: number; }[]; };
        return failures.length === 100 && failures.every(failure => failure.number === 1005);
    });
    assert.equal((await lookup("10.0.0.1")).body.site, undefined);
});

test("a published map is in force on all hosts within 14 s, and clients outside it still get hosts", async () => {
    assert.ok((await publishMap("west")).parts >= 8);
    for (const index of [0, 1, 2]) {
        await waitUntil(async () => (await lookup("10.0.0.1", index)).body.site === "west", 14_000, "map in force");
        const { hosts } = (await lookup("10.0.0.1", index)).body;
        assert.deepEqual(hosts, [2, 1, 0].map(host => fleet.callersAddressOf(host)));
        const ipv6 = (await lookup("2001:db8::5", index)).body;
        assert.deepEqual([ipv6.site, ipv6.hosts[0]], ["east", fleet.callersAddressOf(1)]);
        assert.equal((await lookup("192.0.2.1", index)).body.hosts[0], fleet.callersAddressOf(index));
        assert.equal((await lookup(undefined, index)).body.hosts[0], fleet.callersAddressOf(index));
    }
});

test("a map that changes while the store is slow and failing is never applied partially", async () => {
    const clients = ["10.0.0.1", "10.230.0.1"];
    assert.ok((await publishMap("east")).writtenParts >= 8);
    let fault = 0;
    const faults = ["none", "down"] as const;
    const changeFault = setInterval(() => {
        void fleet.setStoreFault({ mode: faults[fault++ % 2], delayMs: 30 });
    }, 100);
    let inconsistentReads = 0;
    await waitUntil(
        async () => {
            // After one client's new site has been read, the other one must not get its old site. The order alternates.
            clients.reverse();
            const [first, second] = [(await lookup(clients[0])).body.site, (await lookup(clients[1])).body.site];
            inconsistentReads += first === "east" && second === "west" ? 1 : 0;
            return first === "east" && second === "east";
        },
        14_000,
        "map in force",
    ).finally(() => clearInterval(changeFault));
    await fleet.setStoreFault({ mode: "none", delayMs: 0 });
    assert.equal(inconsistentReads, 0);
});

test("lookups drop a leaving or killed host within a few seconds, although the platform still lists it", async () => {
    const isListed = async (index: number) =>
        (await lookup("10.0.0.1")).body.hosts.includes(fleet.callersAddressOf(index));
    assert.ok(await isListed(1) && await isListed(2));
    const stopping = fleet.hosts[1]?.end("SIGTERM");
    await waitUntil(async () => !await isListed(1), 3_000, "lookups still return the leaving host");
    await stopping;
    await fleet.startHost(1);
    await waitUntil(() => isListed(1), 6_000, "lookups do not return the restarted host");
    await fleet.hosts[2]?.end("SIGKILL");
    await waitUntil(async () => !await isListed(2), 6_000, "lookups still return the killed host");
    assert.ok(await isListed(0) && await isListed(1));
});
