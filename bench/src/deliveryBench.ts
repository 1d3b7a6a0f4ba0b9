import { checkRecords, DeliveryFleet } from "@pistachioreel/testing";
import { setTimeout as sleep } from "node:timers/promises";

interface BenchedFault {
    readonly name: string;
    readonly begin: (deliveryFleet: DeliveryFleet) => Promise<void> | void;
    readonly end: (deliveryFleet: DeliveryFleet) => Promise<void> | void;
}

interface FaultResult {
    readonly fault: string;
    /** p50, p99 and p99.9 of the latencies of completed idempotent requests. */
    readonly latenciesWithoutFaultMs: readonly number[];
    readonly latenciesWithFaultMs: readonly number[];
    readonly retriesPerRequest: number;
}

const HOST_COUNT = 3;
const ZONES = ["perth-a", "perth-b", "bunbury-a", "bunbury-b"];
const CALLER_COUNT = 12;
const REQUEST_INTERVAL_MS = 10;
const REQUESTS_PER_ORDER = 10;
const DEFAULT_PHASE_MS = 4_000;
const SETTLE_MS = 1_000;
const QUANTILES = [0.5, 0.99, 0.999];
const RETRY_METRIC = 'pistachioreel_delivery_events_total{event="retry"}';

const faults: readonly BenchedFault[] = [
    {
        name: "target-killed",
        begin: deliveryFleet => deliveryFleet.killTarget(0),
        end: deliveryFleet => deliveryFleet.restartTarget(0),
    },
    {
        name: "connections-reset",
        begin: deliveryFleet => deliveryFleet.proxies[0]?.resetOpenConnections(),
        end: () => undefined,
    },
    {
        name: "connections-silent",
        begin: deliveryFleet => deliveryFleet.proxies[0]?.silenceOpenConnections(),
        end: () => undefined,
    },
    {
        name: "responses-truncated",
        begin: deliveryFleet => deliveryFleet.setBehaviour({ cutAfterBytes: 20 }, [0]),
        end: deliveryFleet => deliveryFleet.setBehaviour({ cutAfterBytes: 0 }, [0]),
    },
    {
        name: "responses-duplicated",
        begin: deliveryFleet => deliveryFleet.setBehaviour({ duplicateAfterMs: 3 }, [0]),
        end: deliveryFleet => deliveryFleet.setBehaviour({ duplicateAfterMs: 0 }, [0]),
    },
    {
        name: "store-replies-lost",
        begin: deliveryFleet => deliveryFleet.fleet.setStoreFault({ mode: "lose-reply" }),
        end: deliveryFleet => deliveryFleet.fleet.setStoreFault({}),
    },
    {
        name: "store-down",
        begin: deliveryFleet => deliveryFleet.fleet.setStoreFault({ mode: "down" }),
        end: deliveryFleet => deliveryFleet.fleet.setStoreFault({}),
    },
];

/**
 * Measures latencies and retries under each fault, compared with the same load without it, and counts violations of the
 * delivery guarantees. Argument: length of a phase in ms.
 */
export async function deliveryBench(args: readonly string[]): Promise<{ faults: FaultResult[]; violations: number; }> {
    const phaseMs = Number(args[0] ?? DEFAULT_PHASE_MS);
    const deliveryFleet = await DeliveryFleet.start({ hosts: HOST_COUNT, zones: ZONES, attemptTimeoutMs: 500 });
    try {
        await runPhase(deliveryFleet, "warm", SETTLE_MS);
        const results: FaultResult[] = [];
        for (const fault of faults) {
            results.push(await measure(deliveryFleet, fault, phaseMs));
        }
        return { faults: results, violations: printViolations(deliveryFleet) };
    }
    finally {
        await deliveryFleet.stop();
    }
}

async function measure(deliveryFleet: DeliveryFleet, fault: BenchedFault, phaseMs: number): Promise<FaultResult> {
    const withoutFault = await runPhase(deliveryFleet, `${fault.name}-without`, phaseMs);
    const retriesBefore = await retriesOf(deliveryFleet);
    await fault.begin(deliveryFleet);
    const withFault = await runPhase(deliveryFleet, `${fault.name}-with`, phaseMs);
    await fault.end(deliveryFleet);
    const retriesPerRequest = (await retriesOf(deliveryFleet) - retriesBefore) / withFault.requests;
    await sleep(SETTLE_MS);
    const result = {
        fault: fault.name,
        latenciesWithoutFaultMs: withoutFault.latencies,
        latenciesWithFaultMs: withFault.latencies,
        retriesPerRequest,
    };
    const render = (values: readonly number[]) => values.map(value => value.toFixed(1)).join("/");
    process.stdout.write(
        `${fault.name}: requests=${withFault.requests} p50/p99/p99.9_ms=${render(result.latenciesWithFaultMs)} ` +
            `without_fault_ms=${render(result.latenciesWithoutFaultMs)} retries_per_request=${
                retriesPerRequest.toFixed(4)
            } ` +
            `not_run=${withFault.notRun} unknown=${withFault.unknown}\n`,
    );
    return result;
}

async function runPhase(deliveryFleet: DeliveryFleet, name: string, phaseMs: number) {
    const firstIndex = deliveryFleet.caller.records.length;
    const endAt = performance.now() + phaseMs;
    await Promise.all(Array.from({ length: CALLER_COUNT }, async (_, caller) => {
        for (let index = 0; performance.now() < endAt; index++) {
            const marker = `${name}-${caller}-${index}`;
            const host = (caller + index) % HOST_COUNT;
            await (index % REQUESTS_PER_ORDER === 0
                ? deliveryFleet.sendOrder(host, marker)
                : deliveryFleet.send(host, marker));
            await sleep(REQUEST_INTERVAL_MS);
        }
    }));
    const records = deliveryFleet.caller.records.slice(firstIndex);
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

async function retriesOf(deliveryFleet: DeliveryFleet): Promise<number> {
    const counts = await Promise.all(
        Array.from({ length: HOST_COUNT }, (_, host) => deliveryFleet.metric(host, RETRY_METRIC)),
    );
    return counts.reduce((total, count) => total + count, 0);
}

function printViolations(deliveryFleet: DeliveryFleet): number {
    const { requests, duplicated, lost, wrongResponse, falseNotRun } = checkRecords(
        deliveryFleet.caller.records,
        deliveryFleet.fleet.records(),
    );
    const counts = `duplicated=${duplicated} lost=${lost} wrong_answer=${wrongResponse} false_not_run=${falseNotRun}`;
    process.stdout.write(`requests=${requests} ${counts}\n`);
    return duplicated + lost + wrongResponse + falseNotRun;
}
