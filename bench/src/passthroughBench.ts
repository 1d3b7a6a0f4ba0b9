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
const TARGET_COUNT = 6;
const LOCATION = { availabilityZone: "a-1", region: "a" };
const RULES = {
    deployment: "bench",
    services: { web: {} },
    routes: [{ path: "/", methods: ["GET"], service: "web", idempotent: true }],
    workspaces: { one: { rate: 1_000_000, burst: 1_000_000 } },
};

/**
 * Compares an entry host with a minimal proxy over the same targets, in interleaved rounds, and prints medians:
 * throughput at 32 connections and latency at one connection.
 */
export async function passthroughBench(): Promise<unknown> {
    const fleet = await Fleet.start({
        hosts: [LOCATION],
        targets: network => Array.from({ length: TARGET_COUNT }, (_, index) => targetAt(network.address(2, index))),
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
    return { ...LOCATION, address, port: 8080, service: "web", slots: 64, behaviour: { workMs: 0 } };
}

type Samples = Readonly<Record<"bare" | "entry", { concurrent: Sample[]; sequential: Sample[]; }>>;

async function measure(entryServer: string, bareServer: string, key: string): Promise<Samples> {
    const samples: Samples = { bare: { concurrent: [], sequential: [] }, entry: { concurrent: [], sequential: [] } };
    const servers = { bare: bareServer, entry: entryServer };
    for (let round = 0; round <= ROUNDS; round++) {
        for (const name of ["bare", "entry"] as const) {
            const concurrent = await load(servers[name], key, CONNECTIONS);
            const sequential = await load(servers[name], key, 1);
            // The first round warms up both servers.
            if (round > 0) {
                samples[name].concurrent.push(concurrent);
                samples[name].sequential.push(sequential);
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
        throughput_ratio: throughput(entry.concurrent) / throughput(bare.concurrent),
        p50_ratio: p50(entry.sequential) / p50(bare.sequential),
        p50_added_ms: p50(entry.sequential) - p50(bare.sequential),
        p99_added_ms: p99(entry.sequential) - p99(bare.sequential),
        bare_requests_per_second: throughput(bare.concurrent),
        entry_requests_per_second: throughput(entry.concurrent),
        failed: [...entry.concurrent, ...entry.sequential].reduce((sum, { failed }) => sum + failed, 0),
    };
    const pairs = Object.entries(result).map(([name, value]) => `${name}=${Number(value.toFixed(3))}`);
    process.stdout.write(`${pairs.join(" ")}\n`);
    return result;
}
