import { BlockMapRepository, DocumentRepository } from "@pistachioreel/documents";
import { KeyRegistry } from "@pistachioreel/keys";
import { encodePart, partitionBlocks } from "@pistachioreel/lookup";
import { HttpObjectStore } from "@pistachioreel/platform-store";
import { Fleet } from "@pistachioreel/testing";
import { randomUUID } from "node:crypto";
import { writeFileSync } from "node:fs";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { Pool, request } from "undici";
import { type LinearFit, linearFit } from "./linearFit.js";
import { processSample } from "./processSample.js";
import { randomBlocks } from "./randomBlocks.js";

type Dimension = "targets" | "workspaces" | "keys" | "blocks";

interface HostPoint {
    readonly count: number;
    readonly residentBytes: number;
    /** Share of a core used by the idle host. */
    readonly core: number;
}

interface HostSlope {
    readonly dimension: Dimension;
    readonly points: readonly HostPoint[];
    readonly residentBytes: LinearFit;
    readonly core: LinearFit;
}

interface HttpLookups {
    readonly perSecond: number;
    /** Share of a core used by the host; above 1 if it uses several. */
    readonly core: number;
    /** Lookups per second of the host's processor time. */
    readonly perCoreSecond: number;
}

/** Cost of each dimension of an idle host's documents, and its lookup throughput over HTTP. */
export interface HostCapacity {
    readonly slopes: readonly HostSlope[];
    readonly http: HttpLookups;
}

const SIZES: Readonly<Record<Dimension, readonly number[]>> = {
    targets: [36, 500, 1_000, 2_000],
    workspaces: [8, 500, 1_000, 2_000],
    keys: [10, 1_000, 2_000, 4_000],
    blocks: [100_000, 500_000, 1_000_000, 1_900_000],
};
const SETTLE_MS = 2_000;
const MEASURE_MS = 4_000;
const HTTP_LOAD_MS = 5_000;
const CONNECTIONS = 32;
const SITE_COUNT = 59;
const IPV6_SHARE = 0.3;

/**
 * Measures memory and processor time of one idle entry host at several sizes of its documents, and its lookup
 * throughput over HTTP. Each dimension is measured on a new host.
 */
export async function measureHost(): Promise<HostCapacity> {
    const slopes: HostSlope[] = [];
    let http: HttpLookups | undefined;
    for (const dimension of Object.keys(SIZES) as Dimension[]) {
        const fleet = await startHost();
        try {
            slopes.push(await measureDimension(fleet, dimension));
            if (dimension === "blocks") {
                http = await measureHttp(fleet);
            }
        }
        finally {
            await fleet.stop();
        }
    }
    return { slopes, http: http as HttpLookups };
}

function startHost(): Promise<Fleet> {
    return Fleet.start({
        hosts: [{ availabilityZone: "a-1", region: "a" }],
        targets: network => [{ ...targetAt(network.address(2, 0)), port: 8080 }],
        rules: rulesOf(8),
    });
}

function targetAt(address: string) {
    return { address, availabilityZone: "a-1", region: "a", service: "web", slots: 4 };
}

function rulesOf(workspaces: number): string {
    const sites = Object.fromEntries(
        numberedNames("site", SITE_COUNT).map(site => [site, { availabilityZones: ["a-1"] }]),
    );
    return JSON.stringify({
        deployment: "capacity",
        services: { web: {} },
        routes: [{ path: "/", methods: ["GET"], service: "web", idempotent: true }],
        workspaces: Object.fromEntries(
            numberedNames("workspace", workspaces).map(name => [name, { rate: 100, burst: 100 }]),
        ),
        sites,
    });
}

function numberedNames(prefix: string, count: number): string[] {
    return Array.from({ length: count }, (_, index) => `${prefix}-${index}`);
}

async function measureDimension(fleet: Fleet, dimension: Dimension): Promise<HostSlope> {
    const store = new HttpObjectStore(fleet.storeUrl, { token: fleet.operatorEnvironment.PISTACHIOREEL_STORE_TOKEN });
    const points: HostPoint[] = [];
    for (const count of SIZES[dimension]) {
        await applySize(fleet, store, dimension, count);
        await sleep(SETTLE_MS);
        points.push({ count, ...await measureAtRest(fleet) });
    }
    await store.close();
    const fit = (value: (point: HostPoint) => number) => linearFit(points.map(point => [point.count, value(point)]));
    return { dimension, points, residentBytes: fit(point => point.residentBytes), core: fit(point => point.core) };
}

async function measureAtRest(fleet: Fleet): Promise<Omit<HostPoint, "count">> {
    const pid = fleet.hosts[0]?.pid as number;
    const before = processSample(pid);
    await sleep(MEASURE_MS);
    const after = processSample(pid);
    return {
        residentBytes: after.residentBytes,
        core: (after.processorMs - before.processorMs) / (after.at - before.at),
    };
}

async function applySize(fleet: Fleet, store: HttpObjectStore, dimension: Dimension, count: number): Promise<void> {
    switch (dimension) {
        case "targets":
        case "workspaces":
            return applyFiles(fleet, dimension, count);
        case "keys":
            return commitKeys(store, count);
        case "blocks":
            return commitBlocks(fleet, store, count);
    }
}

async function applyFiles(fleet: Fleet, dimension: "targets" | "workspaces", count: number): Promise<void> {
    const targets = dimension === "targets" ? count : 1;
    const rows = Array.from(
        { length: targets },
        (_, index) => `127.9.${index >> 8}.${index & 255},8080,a-1,a,web,4,360,live`,
    );
    const inventory = join(fleet.directory, "large.csv");
    const rules = join(fleet.directory, "large.jsonc");
    writeFileSync(
        inventory,
        ["address,port,availability_zone,region,service,slots,connections,state", ...rows].join("\n"),
    );
    writeFileSync(rules, rulesOf(dimension === "workspaces" ? count : 8));
    await fleet.runOperatorCommand("apply", "--inventory", inventory, "--rules", rules);
}

async function commitKeys(store: HttpObjectStore, count: number): Promise<void> {
    const documents = new DocumentRepository(store);
    let registry = new KeyRegistry();
    for (const id of numberedNames("key", count)) {
        registry = registry.issue("workspace-0", { id, now: new Date() }).registry;
    }
    const basedOn = (await documents.readPointer("keys"))._unsafeUnwrap()?.version ?? 0;
    (await documents.commit("keys", registry.toContent(), { basedOn, changeId: randomUUID() }))._unsafeUnwrap();
}

async function commitBlocks(fleet: Fleet, store: HttpObjectStore, count: number): Promise<void> {
    const lists = randomBlocks(count, { sites: SITE_COUNT, ipv6Share: IPV6_SHARE, seed: 7 });
    const parts = lists.flatMap(list => partitionBlocks(list)).map(encodePart);
    const { version } = (await new BlockMapRepository(store).commit(parts, randomUUID()))._unsafeUnwrap();
    const line = `event=block-map-in-force version=${version} `;
    while (!fleet.hosts[0]?.lines.some(text => text.includes(line))) {
        await sleep(50);
    }
}

/**
 * Measures lookups over HTTP with one client process. The client may be the bottleneck, so `perCoreSecond` is the
 * figure to use.
 */
async function measureHttp(fleet: Fleet): Promise<HttpLookups> {
    const pool = new Pool(`http://${fleet.callersAddressOf(0)}`, { connections: CONNECTIONS });
    const pid = fleet.hosts[0]?.pid as number;
    await request(`http://${fleet.callersAddressOf(0)}/v1/lookup`).then(({ body }) => body.dump());
    const before = processSample(pid);
    const endAt = before.at + HTTP_LOAD_MS;
    let responses = 0;
    const sendLookups = async () => {
        while (performance.now() < endAt) {
            const client = `${Math.floor(Math.random() * 256)}.${responses % 256}.3.4`;
            const { body } = await pool.request({ method: "GET", path: `/v1/lookup?client=${client}` });
            await body.dump();
            responses++;
        }
    };
    await Promise.all(Array.from({ length: CONNECTIONS }, sendLookups));
    const after = processSample(pid);
    await pool.close();
    const seconds = (after.at - before.at) / 1_000;
    const processorSeconds = (after.processorMs - before.processorMs) / 1_000;
    return {
        perSecond: responses / seconds,
        core: processorSeconds / seconds,
        perCoreSecond: responses / processorSeconds,
    };
}
