import { checkRecords, DeliveryFleet } from "@pistachioreel/testing";
import { setTimeout as sleep } from "node:timers/promises";

interface BenchedFault {
    readonly name: string;
    readonly begin: (shop: DeliveryFleet) => Promise<void> | void;
    readonly end: (shop: DeliveryFleet) => Promise<void> | void;
}

interface FaultResult {
    readonly fault: string;
    /** Latencies of idempotent work in ms, without and with the fault: p50, p99, p99.9. */
    readonly without: readonly number[];
    readonly with: readonly number[];
    readonly retriesPerRequest: number;
}

const HOSTS = 3;
const ZONES = ["perth-a", "perth-b", "bunbury-a", "bunbury-b"];
const CALLERS = 12;
const PAUSE_MS = 10;
const ORDER_INTERVAL = 10;
const DEFAULT_PHASE_MS = 4_000;
const SETTLE_MS = 1_000;
const QUANTILES = [0.5, 0.99, 0.999];
const RETRIES = 'pistachioreel_delivery_events_total{event="retry"}';

const faults: readonly BenchedFault[] = [
    { name: "target-killed", begin: shop => shop.killTarget(0), end: shop => shop.restartTarget(0) },
    { name: "connections-reset", begin: shop => shop.proxies[0]?.resetOpenConnections(), end: () => undefined },
    { name: "connections-silent", begin: shop => shop.proxies[0]?.silenceOpenConnections(), end: () => undefined },
    {
        name: "responses-truncated",
        begin: shop => shop.setBehaviour({ cutAfterBytes: 20 }, [0]),
        end: shop => shop.setBehaviour({ cutAfterBytes: 0 }, [0]),
    },
    {
        name: "responses-duplicated",
        begin: shop => shop.setBehaviour({ duplicateAfterMs: 3 }, [0]),
        end: shop => shop.setBehaviour({ duplicateAfterMs: 0 }, [0]),
    },
    {
        name: "store-replies-lost",
        begin: shop => shop.fleet.setStoreFault({ mode: "lose-reply" }),
        end: shop => shop.fleet.setStoreFault({}),
    },
    {
        name: "store-down",
        begin: shop => shop.fleet.setStoreFault({ mode: "down" }),
        end: shop => shop.fleet.setStoreFault({}),
    },
];

/** Measures delivery under each fault against the same load without it. Argument: length of a phase in ms. */
export async function deliveryBench(args: readonly string[]): Promise<{ faults: FaultResult[]; violations: number; }> {
    const phaseMs = Number(args[0] ?? DEFAULT_PHASE_MS);
    const shop = await DeliveryFleet.start({ hosts: HOSTS, zones: ZONES, attemptTimeoutMs: 500 });
    try {
        await runPhase(shop, "warm", SETTLE_MS);
        const results: FaultResult[] = [];
        for (const fault of faults) {
            results.push(await measure(shop, fault, phaseMs));
        }
        return { faults: results, violations: report(shop) };
    }
    finally {
        await shop.stop();
    }
}

async function measure(shop: DeliveryFleet, fault: BenchedFault, phaseMs: number): Promise<FaultResult> {
    const without = await runPhase(shop, `${fault.name}-without`, phaseMs);
    const retriesBefore = await retriesOf(shop);
    await fault.begin(shop);
    const withFault = await runPhase(shop, `${fault.name}-with`, phaseMs);
    await fault.end(shop);
    const retriesPerRequest = (await retriesOf(shop) - retriesBefore) / withFault.requests;
    await sleep(SETTLE_MS);
    const result = { fault: fault.name, without: without.latencies, with: withFault.latencies, retriesPerRequest };
    const render = (values: readonly number[]) => values.map(value => value.toFixed(1)).join("/");
    process.stdout.write(
        `${fault.name}: requests=${withFault.requests} p50/p99/p99.9_ms=${render(result.with)} ` +
            `without_fault_ms=${render(result.without)} retries_per_request=${retriesPerRequest.toFixed(4)} ` +
            `not_run=${withFault.notRun} unknown=${withFault.unknown}\n`,
    );
    return result;
}

async function runPhase(shop: DeliveryFleet, name: string, phaseMs: number) {
    const first = shop.caller.records.length;
    const endAt = performance.now() + phaseMs;
    await Promise.all(Array.from({ length: CALLERS }, async (_, caller) => {
        for (let index = 0; performance.now() < endAt; index++) {
            const marker = `${name}-${caller}-${index}`;
            const host = (caller + index) % HOSTS;
            await (index % ORDER_INTERVAL === 0 ? shop.sendOrder(host, marker) : shop.send(host, marker));
            await sleep(PAUSE_MS);
        }
    }));
    const records = shop.caller.records.slice(first);
    const latencies = records.filter(({ isIdempotent, outcome }) => isIdempotent && outcome === "complete")
        .map(({ latencyMs }) => latencyMs).sort((a, b) => a - b);
    const count = (outcome: string) => records.filter(record => record.outcome === outcome).length;
    return {
        requests: records.length,
        notRun: count("not-run"),
        unknown: count("unknown"),
        latencies: QUANTILES.map(quantile => latencies[Math.floor(quantile * (latencies.length - 1))] ?? 0),
    };
}

async function retriesOf(shop: DeliveryFleet): Promise<number> {
    const counts = await Promise.all(Array.from({ length: HOSTS }, (_, host) => shop.metric(host, RETRIES)));
    return counts.reduce((total, count) => total + count, 0);
}

function report(shop: DeliveryFleet): number {
    const { requests, duplicated, lost, wrongResponse, falseNotRun } = checkRecords(
        shop.caller.records,
        shop.fleet.records(),
    );
    const counts = `duplicated=${duplicated} lost=${lost} wrong_answer=${wrongResponse} false_not_run=${falseNotRun}`;
    process.stdout.write(`requests=${requests} ${counts}\n`);
    return duplicated + lost + wrongResponse + falseNotRun;
}
