import { TokenBucket } from "@pistachioreel/limits";
import { Caller, countOverAdmitted, PartitionableFleet } from "@pistachioreel/testing";
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";

interface Phase {
    readonly name: string;
    readonly targetShare: number;
    /** Mean requests per second at a time in s. */
    readonly demand: (seconds: number) => number;
    /** Host that the next request is sent to. */
    readonly host: (seconds: number, live: readonly number[]) => number;
    readonly killsHost?: boolean;
}

interface PhaseResult {
    readonly phase: string;
    readonly inRate: number;
    readonly refused: number;
    readonly refusedShare: number;
    readonly targetShare: number;
    /** Requests that failed for another reason, such as a host that died while it served them. */
    readonly failed: number;
    /** Share of the rate that no admitted request used. */
    readonly unusedShare: number;
    readonly messagesPerSecondAndHost: number;
}

interface LimitsBenchResult {
    readonly phases: readonly PhaseResult[];
    readonly overAdmitted: number;
}

const LIMIT = { rate: 300, burst: 150 };
const HOSTS = 10;
const ZONES = ["tbilisi-a", "tbilisi-b", "kutaisi-a", "kutaisi-b", "batumi-a"];
const LOAD = 0.8 * LIMIT.rate;
const DEFAULT_PHASE_SECONDS = 15;
const SETTLE_MS = 6_000;
const PAUSE_MS = 2_000;
const STEP_MS = 2;
const MS_PER_SECOND = 1_000;
const STEADY_TARGET = 0.001;
const CHANGE_TARGET = 0.01;
const MOVE_SECONDS = 3;
const RATE_EXCEEDED = 3005;
const RULES = JSON.stringify({
    deployment: "bench",
    services: { schedule: {} },
    routes: [{ path: "/visits", methods: ["GET"], service: "schedule", idempotent: true }],
    workspaces: { bank: LIMIT },
});
const anyHost = (_: number, live: readonly number[]) => live[Math.floor(Math.random() * live.length)] ?? 0;
const phases: readonly Phase[] = [
    { name: "steady", targetShare: STEADY_TARGET, demand: () => LOAD, host: anyHost },
    {
        name: "bursty",
        targetShare: STEADY_TARGET,
        demand: seconds => seconds % 2 < 0.4 ? 2 * LIMIT.rate : LIMIT.rate / 4,
        host: anyHost,
    },
    { name: "skewed", targetShare: STEADY_TARGET, demand: () => LOAD, host: () => 0 },
    {
        name: "moving",
        targetShare: CHANGE_TARGET,
        demand: () => LOAD,
        host: seconds => Math.floor(seconds / MOVE_SECONDS) % HOSTS,
    },
    { name: "host-dies", targetShare: CHANGE_TARGET, demand: () => LOAD, host: anyHost, killsHost: true },
];

/**
 * Measures requests refused inside the rate with 10 hosts. Only requests that one ideal bucket would admit are sent, so
 * each refusal by the limit is wrongful. The first argument is the length of a phase in s, the others name
 * the phases, all by default.
 */
export async function limitsBench(args: readonly string[]): Promise<LimitsBenchResult> {
    const seconds = Number(args[0] ?? DEFAULT_PHASE_SECONDS);
    const zones = Array.from({ length: HOSTS }, (_, index) => ZONES[index % ZONES.length] as string);
    const faults = await PartitionableFleet.start({ zones, rules: RULES });
    const caller = new Caller();
    try {
        const { key } = await faults.fleet.issueKey("bank");
        await sleep(SETTLE_MS);
        const results: PhaseResult[] = [];
        for (const phase of phases.filter(({ name }) => args.length < 2 || args.slice(1).includes(name))) {
            const result = await runPhase(phase, { faults, caller, key, seconds });
            results.push(result);
            process.stdout.write(`${renderFields(result)}\n`);
            await sleep(PAUSE_MS);
        }
        const overAdmitted = countOverAdmitted(caller.records, faults.fleet.records(), LIMIT);
        process.stdout.write(`over_admitted=${overAdmitted}\n`);
        return { phases: results, overAdmitted };
    }
    finally {
        await caller.close();
        await faults.stop();
    }
}

interface Bench {
    readonly faults: PartitionableFleet;
    readonly caller: Caller;
    readonly key: string;
    readonly seconds: number;
}

async function runPhase(phase: Phase, { faults, caller, key, seconds }: Bench): Promise<PhaseResult> {
    const ideal = new TokenBucket({ rate: LIMIT.rate, capacity: LIMIT.burst, now: () => performance.now() });
    let live = Array.from({ length: HOSTS }, (_, index) => index);
    const outcomes: Promise<string>[] = [];
    const messagesBefore = await countMessages(faults, live);
    const startedAt = performance.now();
    let next = 0;
    for (let elapsed = 0; elapsed < seconds; elapsed = (performance.now() - startedAt) / MS_PER_SECOND) {
        if (phase.killsHost && live.length === HOSTS && elapsed > seconds / 3) {
            live = live.slice(0, -1);
            void faults.fleet.hosts[HOSTS - 1]?.end("SIGKILL");
        }
        for (; next <= elapsed; next += exponential(phase.demand(elapsed))) {
            if (ideal.tryTake()) {
                const marker = `${phase.name}-${outcomes.length}`;
                outcomes.push(sendOnce(caller, faults, phase.host(elapsed, live), { marker, key }));
            }
        }
        await sleep(STEP_MS);
    }
    const ended = await Promise.all(outcomes);
    const messagesAfter = await countMessages(faults, live);
    const messages = messagesAfter.reduce((sum, count, host) => sum + count - (messagesBefore[host] ?? 0), 0);
    const refused = ended.filter(outcome => outcome === "refused").length;
    const complete = ended.filter(outcome => outcome === "complete").length;
    return {
        phase: phase.name,
        inRate: ended.length,
        refused,
        refusedShare: refused / ended.length,
        targetShare: phase.targetShare,
        failed: ended.length - refused - complete,
        unusedShare: 1 - complete / (LIMIT.rate * seconds),
        messagesPerSecondAndHost: messages / seconds / live.length,
    };
}

/** Sends a request; a caller that finds its host dead uses the next. */
async function sendOnce(
    caller: Caller,
    faults: PartitionableFleet,
    host: number,
    fields: { marker: string; key: string; },
): Promise<string> {
    const record = await caller.send({ host: faults.fleet.callersAddressOf(host), path: "/visits", ...fields });
    if (record.status === 0 && record.outcome === "not-run") {
        return sendOnce(caller, faults, (host + 1) % HOSTS, fields);
    }
    return record.code === RATE_EXCEEDED ? "refused" : record.outcome;
}

async function countMessages(faults: PartitionableFleet, hosts: readonly number[]): Promise<number[]> {
    return Promise.all(hosts.map(async host => {
        const response = await request(`http://${faults.fleet.adminAddressOf(host)}/metrics`);
        return Number(/^pistachioreel_loan_messages (\S+)/m.exec(await response.body.text())?.[1] ?? NaN);
    }));
}

/** Time to the next arrival of a Poisson process, in s. */
function exponential(perSecond: number): number {
    return -Math.log(1 - Math.random()) / perSecond;
}

function renderFields(result: PhaseResult): string {
    return Object.entries(result).map(([name, value]) =>
        `${name}=${typeof value === "number" && !Number.isInteger(value) ? value.toFixed(4) : value}`
    ).join(" ");
}
