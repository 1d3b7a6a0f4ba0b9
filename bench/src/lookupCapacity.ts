import { LookupResolver } from "@pistachioreel/entry";
import { BlockTable, decodePart, encodePart, partitionBlocks } from "@pistachioreel/lookup";
import { type LinearFit, linearFit } from "./linearFit.js";
import { randomBlocks } from "./randomBlocks.js";

interface LookupCapacityOptions {
    readonly blockCounts: readonly number[];
    readonly ipv6Share: number;
    readonly hosts: number;
}

interface LookupPoint {
    readonly blocks: number;
    readonly parts: number;
    readonly tableBytes: number;
    readonly storedBytes: number;
    /** Bytes that each host downloads after a change of one block: the list of parts and, at most, the largest part. */
    readonly changeBytes: number;
    readonly encodeMs: number;
    /** Time to decode all parts and build the table, as a host does at startup. */
    readonly loadMs: number;
    readonly longestPartMs: number;
    readonly ipv4PerSecond: number;
    readonly ipv6PerSecond: number;
    /** Complete lookups, from the address as text to the response as JSON. */
    readonly answersPerSecond: number;
}

/** Measurements of the block table and lines fitted to them against the number of blocks. */
export interface LookupCapacity {
    readonly points: readonly LookupPoint[];
    readonly tableBytes: LinearFit;
    readonly storedBytes: LinearFit;
    readonly loadMs: LinearFit;
}

const SITE_COUNT = 59;
const ZONE_COUNT = 24;
const SEED = 20_261;
const PROBE_COUNT = 2 ** 16;
const LOOKUPS_PER_ROUND = 500_000;
const BYTES_PER_LISTED_DIGEST = 46;
const ROUNDS = 3;

/** Measures the block table and lookups in this process, without HTTP, at several sizes of the block map. */
export function measureLookup(opts: LookupCapacityOptions): LookupCapacity {
    const points = opts.blockCounts.map(count => measurePoint(count, opts));
    const fit = (value: (point: LookupPoint) => number) => linearFit(points.map(point => [point.blocks, value(point)]));
    return {
        points,
        tableBytes: fit(point => point.tableBytes),
        storedBytes: fit(point => point.storedBytes),
        loadMs: fit(point => point.loadMs),
    };
}

function measurePoint(count: number, { ipv6Share, hosts }: LookupCapacityOptions): LookupPoint {
    const lists = randomBlocks(count, { sites: SITE_COUNT, ipv6Share, seed: SEED });
    const encodeStartedAt = performance.now();
    const encoded = lists.flatMap(list => partitionBlocks(list)).map(encodePart);
    const encodeMs = performance.now() - encodeStartedAt;
    const loadStartedAt = performance.now();
    let longestPartMs = 0;
    const parts = encoded.map(({ digest, text }) => {
        const partStartedAt = performance.now();
        const part = decodePart(digest, text)._unsafeUnwrap();
        longestPartMs = Math.max(longestPartMs, performance.now() - partStartedAt);
        return part;
    });
    const table = new BlockTable(parts);
    const loadMs = performance.now() - loadStartedAt;
    const [ipv4, ipv6] = [probeAddresses(randomIpv4), probeAddresses(randomIpv6)];
    const resolver = new LookupResolver(resolverOptions(table, hosts));
    const partBytes = encoded.map(part => part.text.length);
    return {
        blocks: count,
        parts: encoded.length,
        tableBytes: table.bytes,
        storedBytes: partBytes.reduce((sum, bytes) => sum + bytes, 0),
        changeBytes: Math.max(...partBytes) + encoded.length * BYTES_PER_LISTED_DIGEST,
        encodeMs,
        loadMs,
        longestPartMs,
        ipv4PerSecond: rateOf(index => table.siteOf(ipv4[index] as string)),
        ipv6PerSecond: rateOf(index => table.siteOf(ipv6[index] as string)),
        answersPerSecond: rateOf(index => JSON.stringify(resolver.resolve(ipv4[index], undefined)._unsafeUnwrap())),
    };
}

function resolverOptions(blockTable: BlockTable, count: number): ConstructorParameters<typeof LookupResolver>[0] {
    const hosts = Array.from({ length: count }, (_, index) => ({
        id: `host-${index}`,
        callers: `10.1.${index >> 8}.${index & 255}:7001`,
        peers: "",
        admin: "",
        availabilityZone: `zone-${index % ZONE_COUNT}`,
        region: `region-${index % ZONE_COUNT % 9}`,
        state: "live" as const,
    }));
    const sites = Object.fromEntries(Array.from({ length: SITE_COUNT }, (_, site) => [
        `site-${site}`,
        {
            availabilityZones: [`zone-${site % ZONE_COUNT}`, `zone-${(site + 1) % ZONE_COUNT}`],
            regions: [`region-${site % 9}`],
        },
    ]));
    const configuration = { rules: { sites } } as never;
    return { availabilityZone: "zone-0", region: "region-0", state: { hosts, blockTable, configuration } };
}

function probeAddresses(newAddress: () => string): string[] {
    return Array.from({ length: PROBE_COUNT }, newAddress);
}

function randomIpv4(): string {
    return Array.from({ length: 4 }, () => Math.floor(Math.random() * 256)).join(".");
}

function randomIpv6(): string {
    const groups = Array.from({ length: 7 }, () => Math.floor(Math.random() * 65_536).toString(16));
    return [(0x2000 + Math.floor(Math.random() * 0x2000)).toString(16), ...groups].join(":");
}

/** Median rate of `ROUNDS` rounds, in calls per second. */
function rateOf(call: (probeIndex: number) => unknown): number {
    const rates = Array.from({ length: ROUNDS }, () => {
        const startedAt = performance.now();
        for (let index = 0; index < LOOKUPS_PER_ROUND; index++) {
            call(index % PROBE_COUNT);
        }
        return Math.round(LOOKUPS_PER_ROUND / (performance.now() - startedAt) * 1_000);
    });
    return rates.sort((a, b) => a - b)[Math.floor(ROUNDS / 2)] as number;
}
