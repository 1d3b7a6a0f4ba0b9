import { Fleet } from "@pistachioreel/testing";
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import { type LinearFit, linearFit } from "./linearFit.js";
import { processSample } from "./processSample.js";

interface Counters {
    readonly processorMs: number;
    readonly residentBytes: number;
    readonly at: number;
    readonly storeCalls: number;
    readonly sentFrames: number;
    readonly sentBytes: number;
}

/** Averages per host of an idle fleet. */
interface FleetPoint {
    readonly hosts: number;
    /** Share of a core. */
    readonly core: number;
    readonly residentBytes: number;
    readonly storeCallsPerSecond: number;
    readonly sentFramesPerSecond: number;
    readonly sentBytesPerSecond: number;
}

/** Measurements of idle fleets and lines fitted to them against the number of hosts. */
export interface FleetCapacity {
    readonly points: readonly FleetPoint[];
    readonly fits: Readonly<Record<Exclude<keyof FleetPoint, "hosts">, LinearFit>>;
}

interface Status {
    readonly storeCalls: Record<string, number>;
    readonly peerTraffic: { readonly sentFrames: number; readonly sentBytes: number; };
}

const SETTLE_MS = 6_000;
const MEASURE_MS = 10_000;
const ZONE_COUNT = 6;

/**
 * Measures idle fleets of the given sizes, one after another. `onPoint` receives each result at once, so that it is not
 * lost when a later fleet fails on a busy machine.
 */
export async function measureFleets(
    sizes: readonly number[],
    onPoint: (point: FleetPoint) => void,
): Promise<FleetCapacity> {
    const points: FleetPoint[] = [];
    for (const size of sizes) {
        const point = await measureFleet(size);
        onPoint(point);
        points.push(point);
    }
    const fit = (value: (point: FleetPoint) => number) => linearFit(points.map(point => [point.hosts, value(point)]));
    return {
        points,
        fits: {
            core: fit(point => point.core),
            residentBytes: fit(point => point.residentBytes),
            storeCallsPerSecond: fit(point => point.storeCallsPerSecond),
            sentFramesPerSecond: fit(point => point.sentFramesPerSecond),
            sentBytesPerSecond: fit(point => point.sentBytesPerSecond),
        },
    };
}

async function measureFleet(hosts: number): Promise<FleetPoint> {
    const fleet = await Fleet.start({
        hosts: Array.from({ length: hosts }, (_, index) => ({
            availabilityZone: `zone-${index % ZONE_COUNT}`,
            region: `region-${index % ZONE_COUNT % 3}`,
        })),
        targets: network => [{
            address: network.address(2, 0),
            port: 8080,
            availabilityZone: "zone-0",
            region: "region-0",
            service: "web",
            slots: 4,
        }],
        rules: JSON.stringify({
            deployment: "capacity",
            services: { web: {} },
            routes: [{ path: "/", methods: ["GET"], service: "web", idempotent: true }],
            workspaces: { one: { rate: 100, burst: 100 } },
        }),
    });
    try {
        await sleep(SETTLE_MS);
        const before = await countersOf(fleet);
        await sleep(MEASURE_MS);
        const after = await countersOf(fleet);
        return { hosts, ...averageOf(before, after) };
    }
    finally {
        await fleet.stop();
    }
}

function countersOf(fleet: Fleet): Promise<Counters[]> {
    return Promise.all(fleet.hosts.map(async (host, index) => {
        const { body } = await request(`http://${fleet.adminAddressOf(index)}/v1/status`);
        const { storeCalls, peerTraffic } = await body.json() as Status;
        const calls = Object.values(storeCalls).reduce((sum, count) => sum + count, 0);
        const { sentFrames, sentBytes } = peerTraffic;
        return { ...processSample(host.pid), storeCalls: calls, sentFrames, sentBytes };
    }));
}

function averageOf(before: readonly Counters[], after: readonly Counters[]): Omit<FleetPoint, "hosts"> {
    const mean = (value: (first: Counters, last: Counters) => number) =>
        after.reduce((sum, last, index) => sum + value(before[index] as Counters, last), 0) / after.length;
    const perSecond = (name: "storeCalls" | "sentFrames" | "sentBytes") =>
        mean((first, last) => (last[name] - first[name]) / (last.at - first.at) * 1_000);
    return {
        core: mean((first, last) => (last.processorMs - first.processorMs) / (last.at - first.at)),
        residentBytes: mean((_, last) => last.residentBytes),
        storeCallsPerSecond: perSecond("storeCalls"),
        sentFramesPerSecond: perSecond("sentFrames"),
        sentBytesPerSecond: perSecond("sentBytes"),
    };
}
