import type { PeerIdentity } from "@pistachioreel/peering";
import { SlotUsage } from "@pistachioreel/steering";
import { ChildProgram, LoopbackNetwork } from "@pistachioreel/testing";
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import type { DelayedMesh } from "./delayedMesh.js";
import { type BenchTarget, SteeringHost } from "./steeringHost.js";

interface SteeringResult {
    readonly scenario: string;
    readonly policy: string;
    readonly p50Ms: number;
    readonly p99Ms: number;
    readonly worstWorkspaceP99Ms: number;
    readonly refused: number;
    readonly sheds: number;
    /** Largest share of slots in use, of a target and of a region. */
    readonly fullestTarget: number;
    readonly fullestRegion: number;
    /** Longest time in ms that a target was above its slots while another of its zone had a free one. */
    readonly overrunMs: number;
    /** Largest number of requests that a region ran at once. */
    readonly mostInRegion: number;
}

interface Scenario {
    readonly hotFactor?: number;
    /** Called one second after the start of the load. */
    readonly injectFault?: (targets: readonly BenchTarget[], programs: readonly ChildProgram[]) => Promise<void>;
}

const REGIONS = ["perth", "bunbury", "albany"];
const TARGETS_PER_REGION = 4;
const HOSTS_PER_REGION = 2;
const SLOTS_PER_TARGET = 4;
const REGION_CAP = 16;
/** Long compared with the scheduling delays of a busy machine, so that these hardly affect the result. */
const WORK_MS = 150;
const WORKSPACES = ["a", "b", "c", "d"];
/** Request rate of each workspace at each host. All of them together use 0.53 of the slots. */
const REQUESTS_PER_SECOND = 7;
const DEFAULT_RUN_MS = 5_000;
const SAMPLE_INTERVAL_MS = 20;
const TARGET_ADDRESS_GROUP = 2;
const TARGET_PORT = 8080;
const POLICIES = ["random", "round-robin", "least-own", "all-knowing", "own"];

const scenarios: Readonly<Record<string, Scenario>> = {
    "steady": {},
    "hot workspace": { hotFactor: 5 },
    "lying reports": {
        injectFault: async targets => {
            await Promise.all(
                targets.filter((_, i) => i % TARGETS_PER_REGION === 0)
                    .map(target => setBehaviour(target, { reportedRunning: 0, sheds: true })),
            );
        },
    },
    "cold return": {
        injectFault: async targets => {
            await Promise.all(
                targets.filter((_, i) => i % TARGETS_PER_REGION === 0)
                    .map(target => setBehaviour(target, { coldMs: 250, coldRequests: 1_000_000 })),
            );
        },
    },
    "region lost": {
        injectFault: async (_, programs) => {
            await Promise.all(programs.slice(0, TARGETS_PER_REGION).map(program => program.end("SIGKILL")));
        },
    },
};

/** Compares the policies in each scenario. Arguments: length of a run in ms, names of scenarios (all by default). */
export async function steeringBench(args: readonly string[]): Promise<SteeringResult[]> {
    const runMs = Number(args[0] ?? DEFAULT_RUN_MS);
    const results: SteeringResult[] = [];
    for (const name of args.length > 1 ? args.slice(1) : Object.keys(scenarios)) {
        for (const policy of POLICIES) {
            const result = await runScenario(name, policy, runMs);
            results.push(result);
            process.stdout.write(`${Object.entries(result).map(([key, value]) => `${key}=${value}`).join(" ")}\n`);
        }
    }
    return results;
}

async function runScenario(scenario: string, policy: string, runMs: number): Promise<SteeringResult> {
    const { hotFactor = 1, injectFault } = scenarios[scenario] ?? {};
    const network = new LoopbackNetwork();
    const targets = REGIONS.flatMap((region, group) =>
        Array.from({ length: TARGETS_PER_REGION }, (_, i): BenchTarget => ({
            id: `${network.address(TARGET_ADDRESS_GROUP, group * TARGETS_PER_REGION + i)}:${TARGET_PORT}`,
            service: "catalogue",
            availabilityZone: `${region}-a`,
            region,
            slots: SLOTS_PER_TARGET,
            state: "live",
        }))
    );
    const programs = await Promise.all(targets.map(startTarget));
    const globalUsage = new SlotUsage();
    const meshes = new Map<string, DelayedMesh>();
    const identities = REGIONS.flatMap(region =>
        Array.from({ length: HOSTS_PER_REGION }, (_, i): PeerIdentity => ({
            hostId: `${region}-${i}`,
            incarnation: `${region}-${i}-1`,
            availabilityZone: `${region}-a`,
            region,
        }))
    );
    const hosts: SteeringHost[] = identities.map(identity => {
        const weightOf = () => 1;
        return new SteeringHost({
            identity,
            policy,
            targets,
            hosts: identities,
            globalUsage,
            meshes,
            regionCap: REGION_CAP,
            weightOf,
            onRelease: () => policy === "all-knowing" && hosts.forEach(host => host.dispatchWaiting()),
        });
    });
    // Hosts own no permits until the other hosts have reported the grants that they hold.
    await sleep(500);
    const sampler = new UsageSampler(targets, globalUsage);
    const sampleTimer = setInterval(() => sampler.sample(), SAMPLE_INTERVAL_MS);
    const faultInjected = injectFault === undefined
        ? undefined
        : sleep(1_000).then(() => injectFault(targets, programs));
    const requests = await sendLoad(hosts, runMs, hotFactor);
    await faultInjected;
    await Promise.all(requests);
    clearInterval(sampleTimer);
    await Promise.all([...hosts.map(host => host.close()), ...programs.map(program => program.end("SIGKILL"))]);
    return summarize(scenario, policy, hosts, sampler);
}

/**
 * Sends requests at exponentially distributed intervals; the first workspace sends `hotFactor` times the base rate.
 * Returns the requests, some of which are still pending.
 */
async function sendLoad(hosts: readonly SteeringHost[], runMs: number, hotFactor: number): Promise<Promise<void>[]> {
    const requests: Promise<void>[] = [];
    const sources = hosts.flatMap(host =>
        WORKSPACES.map((workspace, i) => ({
            host,
            workspace,
            rate: REQUESTS_PER_SECOND * (i === 0 ? hotFactor : 1),
            dueMs: 0,
        }))
    );
    const startedAt = performance.now();
    for (let elapsedMs = 0; elapsedMs < runMs; elapsedMs = performance.now() - startedAt) {
        for (const source of sources) {
            for (; source.dueMs <= elapsedMs; source.dueMs += -Math.log(1 - Math.random()) * 1_000 / source.rate) {
                requests.push(source.host.send(source.workspace));
            }
        }
        await sleep(1);
    }
    return requests;
}

/** Tracks the highest slot usage of targets and regions, and the longest overrun, by the actual counts of a run. */
class UsageSampler {
    fullestTarget = 0;
    mostInRegion = 0;
    overrunMs = 0;
    private overrunStartedAt: number | undefined;

    constructor(private readonly targets: readonly BenchTarget[], private readonly globalUsage: SlotUsage) {}

    sample(): void {
        let isOverrun = false;
        for (const region of REGIONS) {
            const running = this.targets.filter(target => target.region === region)
                .map(target => this.globalUsage.runningOn(target.id));
            this.fullestTarget = Math.max(this.fullestTarget, ...running.map(count => count / SLOTS_PER_TARGET));
            this.mostInRegion = Math.max(this.mostInRegion, running.reduce((sum, count) => sum + count, 0));
            isOverrun ||= Math.max(...running) > SLOTS_PER_TARGET && Math.min(...running) < SLOTS_PER_TARGET;
        }
        const now = performance.now();
        this.overrunStartedAt = isOverrun ? this.overrunStartedAt ?? now : undefined;
        this.overrunMs = Math.max(this.overrunMs, now - (this.overrunStartedAt ?? now));
    }
}

function summarize(
    scenario: string,
    policy: string,
    hosts: readonly SteeringHost[],
    usage: UsageSampler,
): SteeringResult {
    const latenciesOf = (workspace: string) => hosts.flatMap(host => host.latencies.get(workspace) ?? []);
    const baseRateWorkspaces = WORKSPACES.slice(1);
    const latencies = baseRateWorkspaces.flatMap(latenciesOf);
    const round = (value: number) => Math.round(value * 10) / 10;
    return {
        scenario,
        policy,
        p50Ms: round(quantile(latencies, 0.5)),
        p99Ms: round(quantile(latencies, 0.99)),
        worstWorkspaceP99Ms: round(
            Math.max(...baseRateWorkspaces.map(workspace => quantile(latenciesOf(workspace), 0.99))),
        ),
        refused: hosts.reduce((sum, host) => sum + host.refused, 0),
        sheds: hosts.reduce((sum, host) => sum + host.sheds, 0),
        fullestTarget: usage.fullestTarget,
        fullestRegion: usage.mostInRegion / (TARGETS_PER_REGION * SLOTS_PER_TARGET),
        overrunMs: Math.round(usage.overrunMs),
        mostInRegion: usage.mostInRegion,
    };
}

function quantile(values: number[], probability: number): number {
    return [...values].sort((a, b) => a - b)[Math.floor(values.length * probability)] ?? NaN;
}

async function startTarget({ id }: BenchTarget): Promise<ChildProgram> {
    const [address = "", port = ""] = id.split(":");
    const behaviour = JSON.stringify({ workMs: WORK_MS });
    const args = ["dist/standIn.cjs", "target", "--address", address, "--port", port];
    args.push("--slots", String(SLOTS_PER_TARGET), "--behaviour", behaviour);
    return new ChildProgram(process.execPath, args, { readyLine: "listening" }).waitUntilStarted();
}

async function setBehaviour({ id }: BenchTarget, behaviour: object): Promise<void> {
    const response = await request(`http://${id}/control/behaviour`, {
        method: "POST",
        body: JSON.stringify(behaviour),
    });
    await response.body.dump();
}
