import { TokenBucket } from "@pistachioreel/limits";
import { Caller, countOverAdmitted, PartitionableFleet } from "@pistachioreel/testing";
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";

interface Phase {
    readonly name: string;
    /** Highest share of refused requests that the phase should have. */
    readonly targetShare: number;
    /** Mean request rate per second at a time in seconds since the start of the phase. */
    readonly demand: (seconds: number) => number;
    /** Index of the host that the next request is sent to. */
    readonly host: (seconds: number, liveHosts: readonly number[]) => number;
    readonly killsHost?: boolean;
}

interface PhaseResult {
    readonly phase: string;
    readonly inRate: number;
    readonly refused: number;
    readonly refusedShare: number;
    readonly targetShare: number;
    /** Requests that failed for another reason, such as the end of the host that was handling them. */
    readonly failed: number;
    /** Share of the rate that completed requests left unused. */
    readonly unusedShare: number;
    readonly messagesPerSecondAndHost: number;
}

interface LimitsBenchResult {
    readonly phases: readonly PhaseResult[];
    readonly overAdmitted: number;
}

const LIMIT = { rate: 300, burst: 150 };
const HOST_COUNT = 10;
const ZONES = ["tbilisi-a", "tbilisi-b", "kutaisi-a", "kutaisi-b", "batumi-a"];
const LOAD_PER_SECOND = 0.8 * LIMIT.rate;
const DEFAULT_PHASE_SECONDS = 15;
const SETTLE_MS = 6_000;
const PHASE_PAUSE_MS = 2_000;
const SEND_INTERVAL_MS = 2;
const MS_PER_SECOND = 1_000;
const STEADY_MAX_REFUSED_SHARE = 0.001;
const CHANGING_MAX_REFUSED_SHARE = 0.01;
const MOVE_INTERVAL_SECONDS = 3;
const RATE_EXCEEDED_CODE = 3005;
const RULES = JSON.stringify({
    deployment: "bench",
    services: { schedule: {} },
    routes: [{ path: "/visits", methods: ["GET"], service: "schedule", idempotent: true }],
    workspaces: { bank: LIMIT },
});
const randomHost = (_: number, liveHosts: readonly number[]) =>
    liveHosts[Math.floor(Math.random() * liveHosts.length)] ?? 0;
const phases: readonly Phase[] = [
    { name: "steady", targetShare: STEADY_MAX_REFUSED_SHARE, demand: () => LOAD_PER_SECOND, host: randomHost },
    {
        name: "bursty",
        targetShare: STEADY_MAX_REFUSED_SHARE,
        demand: seconds => seconds % 2 < 0.4 ? 2 * LIMIT.rate : LIMIT.rate / 4,
        host: randomHost,
    },
    { name: "skewed", targetShare: STEADY_MAX_REFUSED_SHARE, demand: () => LOAD_PER_SECOND, host: () => 0 },
    {
        name: "moving",
        targetShare: CHANGING_MAX_REFUSED_SHARE,
        demand: () => LOAD_PER_SECOND,
        host: seconds => Math.floor(seconds / MOVE_INTERVAL_SECONDS) % HOST_COUNT,
    },
    {
        name: "host-dies",
        targetShare: CHANGING_MAX_REFUSED_SHARE,
        demand: () => LOAD_PER_SECOND,
        host: randomHost,
        killsHost: true,
    },
];

/**
 * Measures how many requests within the rate are refused by 10 hosts. Only requests that a single token bucket for the
 * whole fleet would admit are sent, so each refusal by the limit is an error of the distributed limiter. The first
 * argument is the length of a phase in seconds, the others are names of phases; all phases run by default.
 */
export async function limitsBench(args: readonly string[]): Promise<LimitsBenchResult> {
    const seconds = Number(args[0] ?? DEFAULT_PHASE_SECONDS);
    const zones = Array.from({ length: HOST_COUNT }, (_, index) => ZONES[index % ZONES.length] as string);
    const partitionableFleet = await PartitionableFleet.start({ zones, rules: RULES });
    const caller = new Caller();
    try {
        const { key } = await partitionableFleet.fleet.issueKey("bank");
        await sleep(SETTLE_MS);
        const results: PhaseResult[] = [];
        for (const phase of phases.filter(({ name }) => args.length < 2 || args.slice(1).includes(name))) {
            const result = await runPhase(phase, { partitionableFleet, caller, key, seconds });
            results.push(result);
            process.stdout.write(`${renderFields(result)}\n`);
            await sleep(PHASE_PAUSE_MS);
        }
        const overAdmitted = countOverAdmitted(caller.records, partitionableFleet.fleet.records(), LIMIT);
        process.stdout.write(`over_admitted=${overAdmitted}\n`);
        return { phases: results, overAdmitted };
    }
    finally {
        await caller.close();
        await partitionableFleet.stop();
    }
}

interface BenchContext {
    readonly partitionableFleet: PartitionableFleet;
    readonly caller: Caller;
    readonly key: string;
    readonly seconds: number;
}

async function runPhase(
    phase: Phase,
    { partitionableFleet, caller, key, seconds }: BenchContext,
): Promise<PhaseResult> {
    const idealBucket = new TokenBucket({ rate: LIMIT.rate, capacity: LIMIT.burst, now: () => performance.now() });
    let liveHosts = Array.from({ length: HOST_COUNT }, (_, index) => index);
    const outcomes: Promise<string>[] = [];
    const messagesBefore = await countMessages(partitionableFleet, liveHosts);
    const startedAt = performance.now();
    let nextArrival = 0;
    for (
        let elapsedSeconds = 0;
        elapsedSeconds < seconds;
        elapsedSeconds = (performance.now() - startedAt) / MS_PER_SECOND
    ) {
        if (phase.killsHost && liveHosts.length === HOST_COUNT && elapsedSeconds > seconds / 3) {
            liveHosts = liveHosts.slice(0, -1);
            void partitionableFleet.fleet.hosts[HOST_COUNT - 1]?.end("SIGKILL");
        }
        for (; nextArrival <= elapsedSeconds; nextArrival += nextInterval(phase.demand(elapsedSeconds))) {
            if (idealBucket.tryTake()) {
                const marker = `${phase.name}-${outcomes.length}`;
                outcomes.push(
                    sendToLiveHost(caller, partitionableFleet, phase.host(elapsedSeconds, liveHosts), { marker, key }),
                );
            }
        }
        await sleep(SEND_INTERVAL_MS);
    }
    const results = await Promise.all(outcomes);
    const messagesAfter = await countMessages(partitionableFleet, liveHosts);
    const messages = messagesAfter.reduce((sum, count, host) => sum + count - (messagesBefore[host] ?? 0), 0);
    const refused = results.filter(outcome => outcome === "refused").length;
    const complete = results.filter(outcome => outcome === "complete").length;
    return {
        phase: phase.name,
        inRate: results.length,
        refused,
        refusedShare: refused / results.length,
        targetShare: phase.targetShare,
        failed: results.length - refused - complete,
        unusedShare: 1 - complete / (LIMIT.rate * seconds),
        messagesPerSecondAndHost: messages / seconds / liveHosts.length,
    };
}

/** Sends a request, and sends it to the next host if a host cannot be reached and has not run it. */
async function sendToLiveHost(
    caller: Caller,
    partitionableFleet: PartitionableFleet,
    host: number,
    fields: { marker: string; key: string; },
): Promise<string> {
    const record = await caller.send({
        host: partitionableFleet.fleet.callersAddressOf(host),
        path: "/visits",
        ...fields,
    });
    if (record.status === 0 && record.outcome === "not-run") {
        return sendToLiveHost(caller, partitionableFleet, (host + 1) % HOST_COUNT, fields);
    }
    return record.code === RATE_EXCEEDED_CODE ? "refused" : record.outcome;
}

async function countMessages(partitionableFleet: PartitionableFleet, hosts: readonly number[]): Promise<number[]> {
    return Promise.all(hosts.map(async host => {
        const response = await request(`http://${partitionableFleet.fleet.adminAddressOf(host)}/metrics`);
        return Number(/^pistachioreel_loan_messages (\S+)/m.exec(await response.body.text())?.[1] ?? NaN);
    }));
}

/** Random time to the next arrival of a Poisson process, in seconds. */
function nextInterval(perSecond: number): number {
    return -Math.log(1 - Math.random()) / perSecond;
}

function renderFields(result: PhaseResult): string {
    return Object.entries(result).map(([name, value]) =>
        `${name}=${typeof value === "number" && !Number.isInteger(value) ? value.toFixed(4) : value}`
    ).join(" ");
}
