import { checkRecords, DeliveryFleet } from "@pistachioreel/testing";
import * as fc from "fast-check";
import { setTimeout as sleep } from "node:timers/promises";
import { parseArgs } from "node:util";

interface Model {
    stepCount: number;
}

/** One step of a run. Requests that it sends may still be pending while later steps run. */
class Step implements fc.AsyncCommand<Model, FuzzedFleet> {
    constructor(
        private readonly name: string,
        private readonly act: (fuzzed: FuzzedFleet) => Promise<void> | void,
    ) {}

    check(): boolean {
        return true;
    }

    async run(model: Model, fuzzed: FuzzedFleet): Promise<void> {
        model.stepCount++;
        await this.act(fuzzed);
    }

    toString(): string {
        return this.name;
    }
}

/** Fleet of a fuzz run with its pending requests and the markers of its orders, which later steps may send again. */
class FuzzedFleet {
    readonly pending: Promise<unknown>[] = [];
    private readonly markers: string[] = [];

    constructor(readonly deliveryFleet: DeliveryFleet, private readonly runIndex: number) {}

    sendOrder(hostIndex: number, repeatedIndex: number | undefined): void {
        const marker = this.markers[repeatedIndex ?? -1] ?? `fuzz-${this.runIndex}-${this.markers.length}`;
        if (!this.markers.includes(marker)) {
            this.markers.push(marker);
        }
        this.pending.push(this.deliveryFleet.sendOrder(hostIndex, marker, { timeoutMs: 5_000 }));
    }

    sendRead(hostIndex: number, readIndex: number): void {
        this.pending.push(this.deliveryFleet.send(hostIndex, `fuzz-read-${this.runIndex}-${readIndex}-${hostIndex}`));
    }

    async pauseHost(hostIndex: number, pauseMs: number): Promise<void> {
        this.deliveryFleet.fleet.hosts[hostIndex]?.pause();
        await sleep(pauseMs);
        this.deliveryFleet.fleet.hosts[hostIndex]?.resume();
    }

    async replaceHost(hostIndex: number, signal: "SIGTERM" | "SIGKILL"): Promise<void> {
        await this.deliveryFleet.fleet.hosts[hostIndex]?.end(signal);
        await this.deliveryFleet.fleet.startHost(hostIndex);
    }

    async clearFaults(): Promise<void> {
        await this.deliveryFleet.fleet.setStoreFault({});
        await this.deliveryFleet.setBehaviour({ workMs: 5, sheds: false, cutAfterBytes: 0, duplicateAfterMs: 0 });
        this.deliveryFleet.proxies.forEach(proxy => proxy.setFault(() => ({ mode: "pass" })));
        // A host that started while the store was down or slow loads its configuration only now.
        await Promise.all(
            this.deliveryFleet.fleet.hosts.map((_, index) => this.deliveryFleet.fleet.waitUntilReady(index)),
        );
    }
}

const HOST_COUNT = 3;
const TARGET_COUNT = 2;
const DEADLINE_MS = 1_500;
const MAX_STEPS_PER_RUN = 24;

const hostIndex = fc.nat({ max: HOST_COUNT - 1 });
const targetIndex = fc.nat({ max: TARGET_COUNT - 1 });
const requestSteps: fc.Arbitrary<fc.AsyncCommand<Model, FuzzedFleet>>[] = [
    fc.tuple(hostIndex, fc.option(fc.nat({ max: 5 }), { nil: undefined }))
        .map(([host, repeated]) => new Step(`order(${host}, ${repeated})`, fuzzed => fuzzed.sendOrder(host, repeated))),
    fc.tuple(hostIndex, fc.nat({ max: 5 })).map(([host, marker]) =>
        new Step(`repeat-everywhere(${host}, ${marker})`, fuzzed => [0, 1, 2].forEach(h => fuzzed.sendOrder(h, marker)))
    ),
    fc.tuple(hostIndex, fc.nat({ max: 99 })).map(([host, index]) =>
        new Step(`read(${host}, ${index})`, fuzzed => fuzzed.sendRead(host, index))
    ),
];
const faultSteps: typeof requestSteps = [
    fc.nat({ max: 300 }).map(ms => new Step(`wait(${ms})`, () => sleep(ms))),
    fc.nat({ max: 400 }).map(workMs =>
        new Step(`work(${workMs})`, ({ deliveryFleet }) => deliveryFleet.setBehaviour({ workMs }))
    ),
    fc.constantFrom("none", "down", "lose-reply").map(mode =>
        new Step(`store(${mode})`, ({ deliveryFleet }) => deliveryFleet.fleet.setStoreFault({ mode }))
    ),
    fc.nat({ max: 2_500 }).map(delayMs =>
        new Step(`store-delay(${delayMs})`, ({ deliveryFleet }) => deliveryFleet.fleet.setStoreFault({ delayMs }))
    ),
    fc.tuple(hostIndex, fc.nat({ max: 2_000 })).map(([host, ms]) =>
        new Step(`pause(${host}, ${ms})`, fuzzed => fuzzed.pauseHost(host, ms))
    ),
    fc.tuple(hostIndex, fc.constantFrom("SIGTERM" as const, "SIGKILL" as const)).map(([host, signal]) =>
        new Step(`replace(${host}, ${signal})`, fuzzed => fuzzed.replaceHost(host, signal))
    ),
    targetIndex.map(target =>
        new Step(`silence(${target})`, ({ deliveryFleet }) => deliveryFleet.proxies[target]?.silenceOpenConnections())
    ),
    targetIndex.map(target =>
        new Step(`reset(${target})`, ({ deliveryFleet }) => deliveryFleet.proxies[target]?.resetOpenConnections())
    ),
    targetIndex.map(target =>
        new Step(`shed(${target})`, ({ deliveryFleet }) => deliveryFleet.setBehaviour({ sheds: true }, [target]))
    ),
    targetIndex.map(target =>
        new Step(`cut(${target})`, ({ deliveryFleet }) => deliveryFleet.setBehaviour({ cutAfterBytes: 20 }, [target]))
    ),
    targetIndex.map(target =>
        new Step(
            `duplicate(${target})`,
            ({ deliveryFleet }) => deliveryFleet.setBehaviour({ duplicateAfterMs: 2 }, [target]),
        )
    ),
];

/**
 * Sends random requests to a fleet under random faults, then compares the records of the caller and the targets for
 * violations of the delivery guarantees. Arguments: `--seed N --runs M`.
 */
export async function deliveryFuzz(
    args: readonly string[],
): Promise<{ seed: number; runs: number; violations: number; }> {
    const { values } = parseArgs({
        args: [...args],
        options: {
            seed: { type: "string", default: String(Date.now() % 1e9) },
            runs: { type: "string", default: "20" },
        },
    });
    const [seed, runs] = [Number(values.seed), Number(values.runs)];
    const deliveryFleet = await DeliveryFleet.start({
        hosts: HOST_COUNT,
        deadlineMs: DEADLINE_MS,
        attemptTimeoutMs: 400,
        drainTimeoutMs: 3_000,
    });
    let run = 0;
    const property = fc.asyncProperty(
        fc.commands([...requestSteps, ...requestSteps, ...faultSteps], { maxCommands: MAX_STEPS_PER_RUN, size: "max" }),
        async commands => {
            const fuzzed = new FuzzedFleet(deliveryFleet, run++);
            await fc.asyncModelRun(() => ({ model: { stepCount: 0 }, real: fuzzed }), commands);
            await Promise.all(fuzzed.pending);
            await fuzzed.clearFaults();
            await sleep(DEADLINE_MS);
            return violationsOf(deliveryFleet) === 0;
        },
    );
    try {
        const details = await fc.check(property, { seed, numRuns: runs, endOnFailure: true });
        if (details.failed) {
            process.stdout.write(`${fc.stringify(details.counterexample)} ${String(details.errorInstance ?? "")}\n`);
        }
        const violations = violationsOf(deliveryFleet);
        process.stdout.write(`requests=${deliveryFleet.caller.records.length} runs=${run}\n`);
        process.stdout.write(
            `seed=${seed} runs=${runs} violations=${details.failed ? Math.max(1, violations) : violations}\n`,
        );
        return { seed, runs, violations };
    }
    finally {
        await deliveryFleet.stop();
    }
}

function violationsOf(deliveryFleet: DeliveryFleet): number {
    const counts = checkRecords(deliveryFleet.caller.records, deliveryFleet.fleet.records());
    return counts.duplicated + counts.lost + counts.wrongResponse + counts.falseNotRun;
}
