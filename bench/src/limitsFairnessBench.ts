import { Caller, ChildProgram, PartitionableFleet } from "@pistachioreel/testing";
import { setTimeout as sleep } from "node:timers/promises";
import { median } from "./median.js";

interface RunResult {
    /** Highest p99 latency in ms among the workspaces within their rate. */
    readonly worstP99Ms: number;
    /** Lowest share of requests with a complete response among these workspaces. */
    readonly worstComplete: number;
}

interface LimitsFairnessResult {
    readonly alone: RunResult;
    readonly withAggressor: RunResult;
    /** Median over the rounds of the ratio of p99 with the aggressor to p99 without it. */
    readonly p99Ratio: number;
}

const HOST_COUNT = 3;
const REQUESTS_PER_SECOND = 60;
const CONFORMING_WORKSPACES = ["courts", "notaries", "insurers"];
const AGGRESSOR = "partners";
const AGGRESSOR_SCRIPT = "bench/src/pacedLoadMain.ts";
const CONFORMING_RATE_SHARE = 0.6;
const AGGRESSOR_RATE_FACTOR = 5;
const DEFAULT_ROUNDS = 3;
const DEFAULT_ROUND_SECONDS = 6;
const SETTLE_MS = 6_000;
const SEND_INTERVAL_MS = 2;
const MS_PER_SECOND = 1_000;
const RULES = JSON.stringify({
    deployment: "bench",
    services: { schedule: {} },
    routes: [{ path: "/visits", methods: ["GET"], service: "schedule", idempotent: true }],
    workspaces: Object.fromEntries(
        [...CONFORMING_WORKSPACES, AGGRESSOR].map(
            name => [name, { rate: REQUESTS_PER_SECOND, burst: REQUESTS_PER_SECOND }],
        ),
    ),
});

/**
 * Compares the worst results of workspaces within their rate, with and without an aggressor that sends at 5 times its
 * own rate. Arguments: number of rounds, length of a round in seconds.
 */
export async function limitsFairnessBench(args: readonly string[]): Promise<LimitsFairnessResult> {
    const rounds = Number(args[0] ?? DEFAULT_ROUNDS);
    const seconds = Number(args[1] ?? DEFAULT_ROUND_SECONDS);
    const partitionableFleet = await PartitionableFleet.start({
        zones: ["tbilisi-a", "tbilisi-b", "kutaisi-a"],
        rules: RULES,
    });
    const callers = new Map(CONFORMING_WORKSPACES.map(workspace => [workspace, new Caller()]));
    try {
        const keys = new Map<string, string>();
        for (const workspace of [...CONFORMING_WORKSPACES, AGGRESSOR]) {
            keys.set(workspace, (await partitionableFleet.fleet.issueKey(workspace)).key);
        }
        await sleep(SETTLE_MS);
        const alone: RunResult[] = [];
        const withAggressor: RunResult[] = [];
        await runRound(partitionableFleet, keys, callers, {
            seconds: 2,
            aggressorPerSecond: AGGRESSOR_RATE_FACTOR * REQUESTS_PER_SECOND,
        });
        for (let round = 0; round < rounds; round++) {
            alone.push(await runRound(partitionableFleet, keys, callers, { seconds, aggressorPerSecond: 0 }));
            withAggressor.push(
                await runRound(partitionableFleet, keys, callers, {
                    seconds,
                    aggressorPerSecond: AGGRESSOR_RATE_FACTOR * REQUESTS_PER_SECOND,
                }),
            );
        }
        const result = {
            alone: summarize(alone),
            withAggressor: summarize(withAggressor),
            p99Ratio: median(
                withAggressor.map(({ worstP99Ms }, round) => worstP99Ms / (alone[round]?.worstP99Ms ?? NaN)),
            ),
        };
        process.stdout.write(`${JSON.stringify(result)}\n`);
        return result;
    }
    finally {
        await Promise.all([...callers.values()].map(caller => caller.close()));
        await partitionableFleet.stop();
    }
}

async function runRound(
    partitionableFleet: PartitionableFleet,
    keys: ReadonlyMap<string, string>,
    callers: ReadonlyMap<string, Caller>,
    { seconds, aggressorPerSecond }: { seconds: number; aggressorPerSecond: number; },
): Promise<RunResult> {
    const servers = Array.from({ length: HOST_COUNT }, (_, host) => partitionableFleet.fleet.callersAddressOf(host));
    const firstIndexes = CONFORMING_WORKSPACES.map(workspace => callers.get(workspace)?.records.length ?? 0);
    const aggressor = await startAggressor(servers, keys.get(AGGRESSOR) ?? "", aggressorPerSecond, seconds);
    const startedAt = performance.now();
    const sent: Promise<unknown>[] = [];
    let count = 0;
    for (
        let elapsedSeconds = 0;
        elapsedSeconds < seconds;
        elapsedSeconds = (performance.now() - startedAt) / MS_PER_SECOND
    ) {
        for (; count < elapsedSeconds * CONFORMING_RATE_SHARE * REQUESTS_PER_SECOND; count++) {
            for (const workspace of CONFORMING_WORKSPACES) {
                const marker = `${workspace}-${startedAt}-${count}`;
                const fields = {
                    host: servers[count % HOST_COUNT] ?? "",
                    path: "/visits",
                    marker,
                    key: keys.get(workspace),
                };
                sent.push(callers.get(workspace)?.send(fields) ?? Promise.resolve());
            }
        }
        await sleep(SEND_INTERVAL_MS);
    }
    await Promise.all(sent);
    await aggressor.end("SIGKILL");
    const records = CONFORMING_WORKSPACES.map((workspace, index) =>
        callers.get(workspace)?.records.slice(firstIndexes[index]) ?? []
    );
    return {
        worstP99Ms: Math.max(
            ...records.map(ofWorkspace => quantile(ofWorkspace.map(({ latencyMs }) => latencyMs), 0.99)),
        ),
        worstComplete: Math.min(
            ...records.map(ofOne => ofOne.filter(({ outcome }) => outcome === "complete").length / ofOne.length),
        ),
    };
}

/** Starts the aggressor's process. Runs without load from it use rate 0, so that all runs have the same processes. */
function startAggressor(servers: readonly string[], key: string, perSecond: number, seconds: number) {
    const load = { servers, path: "/visits", headers: { authorization: `Bearer ${key}` }, perSecond };
    const args = [
        "--import",
        "tsx",
        AGGRESSOR_SCRIPT,
        JSON.stringify({ ...load, durationMs: seconds * MS_PER_SECOND }),
    ];
    return new ChildProgram(process.execPath, args, { readyLine: "started" }).waitUntilStarted();
}

function summarize(runs: readonly RunResult[]): RunResult {
    return {
        worstP99Ms: median(runs.map(({ worstP99Ms }) => worstP99Ms)),
        worstComplete: Math.min(...runs.map(({ worstComplete }) => worstComplete)),
    };
}

function quantile(values: readonly number[], probability: number): number {
    const sorted = [...values].sort((first, second) => first - second);
    return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * probability))] ?? NaN;
}
