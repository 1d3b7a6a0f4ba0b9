import { ChildProgram, Fleet, type FleetTarget } from "@pistachioreel/testing";
import { execFile } from "node:child_process";
import { promisify } from "node:util";
import { median } from "./median.js";

interface Sample {
    readonly requestsPerSecond: number;
    /** Latencies in microseconds. */
    readonly p50: number;
    readonly p99: number;
    readonly failed: number;
}

const ROUNDS = 5;
const DURATION_MS = 2_000;
const CONNECTIONS = 32;
const TARGETS = 6;
const PLACE = { availabilityZone: "a-1", region: "a" };
const RULES = {
    deployment: "bench",
    services: { web: {} },
    routes: [{ path: "/", methods: ["GET"], service: "web", idempotent: true }],
    workspaces: { one: { rate: 1_000_000, burst: 1_000_000 } },
};

/**
 * Compares an entry host with a bare pass-through over the same targets, in interleaved rounds, and prints medians:
 * throughput at 32 connections and latency at one connection.
 */
export async function passthroughBench(): Promise<unknown> {
    const fleet = await Fleet.start({
        hosts: [PLACE],
        targets: network => Array.from({ length: TARGETS }, (_, index) => targetAt(network.address(2, index))),
        rules: JSON.stringify(RULES),
    });
    const bareAddress = fleet.network.address(3, 0);
    const bareArgs = ["--import", "tsx", "bench/src/barePassthrough.ts", bareAddress, "7100", ...fleet.targets.keys()];
    const bare = new ChildProgram(process.execPath, bareArgs, { readyLine: "listening" });
    try {
        await bare.waitUntilStarted();
        const { key } = await fleet.issueKey("one");
        const entry = await measure(fleet.callersAddressOf(0), `${bareAddress}:7100`, key);
        return print(entry);
    }
    finally {
        await bare.end("SIGKILL");
        await fleet.stop();
    }
}

function targetAt(address: string): FleetTarget {
    return { ...PLACE, address, port: 8080, service: "web", slots: 64, behaviour: { workMs: 0 } };
}

type Samples = Readonly<Record<"bare" | "entry", { many: Sample[]; one: Sample[]; }>>;

async function measure(entryServer: string, bareServer: string, key: string): Promise<Samples> {
    const samples: Samples = { bare: { many: [], one: [] }, entry: { many: [], one: [] } };
    const servers = { bare: bareServer, entry: entryServer };
    for (let round = 0; round <= ROUNDS; round++) {
        for (const name of ["bare", "entry"] as const) {
            const many = await load(servers[name], key, CONNECTIONS);
            const one = await load(servers[name], key, 1);
            // The first round warms up both servers.
            if (round > 0) {
                samples[name].many.push(many);
                samples[name].one.push(one);
            }
        }
    }
    return samples;
}

async function load(server: string, key: string, connections: number): Promise<Sample> {
    const headers = { authorization: `Bearer ${key}`, "x-marker": "bench" };
    const options = JSON.stringify({ server, path: "/x", headers, connections, durationMs: DURATION_MS });
    const { stdout } = await promisify(execFile)(process.execPath, [
        "--import",
        "tsx",
        "bench/src/loadMain.ts",
        options,
    ]);
    return JSON.parse(stdout) as Sample;
}

function print({ bare, entry }: Samples): unknown {
    const throughput = (samples: readonly Sample[]) => median(samples.map(sample => sample.requestsPerSecond));
    const p50 = (samples: readonly Sample[]) => median(samples.map(sample => sample.p50)) / 1_000;
    const p99 = (samples: readonly Sample[]) => median(samples.map(sample => sample.p99)) / 1_000;
    const result = {
        throughput_ratio: throughput(entry.many) / throughput(bare.many),
        p50_ratio: p50(entry.one) / p50(bare.one),
        p50_added_ms: p50(entry.one) - p50(bare.one),
        p99_added_ms: p99(entry.one) - p99(bare.one),
        bare_requests_per_second: throughput(bare.many),
        entry_requests_per_second: throughput(entry.many),
        failed: [...entry.many, ...entry.one].reduce((sum, { failed }) => sum + failed, 0),
    };
    const pairs = Object.entries(result).map(([name, value]) => `${name}=${Number(value.toFixed(3))}`);
    process.stdout.write(`${pairs.join(" ")}\n`);
    return result;
}
