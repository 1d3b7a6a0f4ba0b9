import { checkRecords, DeliveryFleet } from "@pistachioreel/testing";
import * as fc from "fast-check";
import { setTimeout as sleep } from "node:timers/promises";
import { parseArgs } from "node:util";

interface Model {
    orders: number;
}

/** One step of a run: it acts on the fleet; work goes on while later steps act. */
class Step implements fc.AsyncCommand<Model, FuzzedFleet> {
    constructor(
        private readonly name: string,
        private readonly act: (fuzzed: FuzzedFleet) => Promise<void> | void,
    ) {}

    check(): boolean {
        return true;
    }

    async run(model: Model, fuzzed: FuzzedFleet): Promise<void> {
        model.orders++;
        await this.act(fuzzed);
    }

    toString(): string {
        return this.name;
    }
}

/** The fleet of a fuzz run, the work that is under way, and the markers that can be repeated. */
class FuzzedFleet {
    readonly running: Promise<unknown>[] = [];
    private readonly markers: string[] = [];

    constructor(readonly shop: DeliveryFleet, private readonly run: number) {}

    order(host: number, repeated: number | undefined): void {
        const marker = this.markers[repeated ?? -1] ?? `fuzz-${this.run}-${this.markers.length}`;
        if (!this.markers.includes(marker)) {
            this.markers.push(marker);
        }
        this.running.push(this.shop.sendOrder(host, marker, { timeoutMs: 5_000 }));
    }

    read(host: number, index: number): void {
        this.running.push(this.shop.send(host, `fuzz-read-${this.run}-${index}-${host}`));
    }

    async pauseHost(host: number, pauseMs: number): Promise<void> {
        this.shop.fleet.hosts[host]?.pause();
        await sleep(pauseMs);
        this.shop.fleet.hosts[host]?.resume();
    }

    async replaceHost(host: number, signal: "SIGTERM" | "SIGKILL"): Promise<void> {
        await this.shop.fleet.hosts[host]?.end(signal);
        await this.shop.fleet.startHost(host);
    }

    async heal(): Promise<void> {
        await this.shop.fleet.setStoreFault({});
        await this.shop.setBehaviour({ workMs: 5, sheds: false, cutAfterBytes: 0, duplicateAfterMs: 0 });
        this.shop.proxies.forEach(proxy => proxy.setFault(() => ({ mode: "pass" })));
        // A host that started while the store was down or slow has no configuration until now.
        await Promise.all(this.shop.fleet.hosts.map((_, index) => this.shop.fleet.waitUntilReady(index)));
    }
}

const HOSTS = 3;
const TARGETS = 2;
const DEADLINE_MS = 1_500;
const MAX_STEPS = 24;

const host = fc.nat({ max: HOSTS - 1 });
const target = fc.nat({ max: TARGETS - 1 });
const work: fc.Arbitrary<fc.AsyncCommand<Model, FuzzedFleet>>[] = [
    fc.tuple(host, fc.option(fc.nat({ max: 5 }), { nil: undefined }))
        .map(([at, repeated]) => new Step(`order(${at}, ${repeated})`, fuzzed => fuzzed.order(at, repeated))),
    fc.tuple(host, fc.nat({ max: 5 })).map(([at, marker]) =>
        new Step(`repeat-everywhere(${at}, ${marker})`, fuzzed => [0, 1, 2].forEach(h => fuzzed.order(h, marker)))
    ),
    fc.tuple(host, fc.nat({ max: 99 })).map(([at, index]) =>
        new Step(`read(${at}, ${index})`, fuzzed => fuzzed.read(at, index))
    ),
];
const faults: typeof work = [
    fc.nat({ max: 300 }).map(ms => new Step(`wait(${ms})`, () => sleep(ms))),
    fc.nat({ max: 400 }).map(workMs => new Step(`work(${workMs})`, ({ shop }) => shop.setBehaviour({ workMs }))),
    fc.constantFrom("none", "down", "lose-reply").map(mode =>
        new Step(`store(${mode})`, ({ shop }) => shop.fleet.setStoreFault({ mode }))
    ),
    fc.nat({ max: 2_500 }).map(delayMs =>
        new Step(`store-delay(${delayMs})`, ({ shop }) => shop.fleet.setStoreFault({ delayMs }))
    ),
    fc.tuple(host, fc.nat({ max: 2_000 })).map(([at, ms]) =>
        new Step(`pause(${at}, ${ms})`, fuzzed => fuzzed.pauseHost(at, ms))
    ),
    fc.tuple(host, fc.constantFrom("SIGTERM" as const, "SIGKILL" as const)).map(([at, signal]) =>
        new Step(`replace(${at}, ${signal})`, fuzzed => fuzzed.replaceHost(at, signal))
    ),
    target.map(at => new Step(`silence(${at})`, ({ shop }) => shop.proxies[at]?.silenceOpenConnections())),
    target.map(at => new Step(`reset(${at})`, ({ shop }) => shop.proxies[at]?.resetOpenConnections())),
    target.map(at => new Step(`shed(${at})`, ({ shop }) => shop.setBehaviour({ sheds: true }, [at]))),
    target.map(at => new Step(`cut(${at})`, ({ shop }) => shop.setBehaviour({ cutAfterBytes: 20 }, [at]))),
    target.map(at => new Step(`duplicate(${at})`, ({ shop }) => shop.setBehaviour({ duplicateAfterMs: 2 }, [at]))),
];

/** Runs random faults and work against a fleet and checks all records. Arguments: `--seed N --runs M`. */
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
    const shop = await DeliveryFleet.start({
        hosts: HOSTS,
        deadlineMs: DEADLINE_MS,
        attemptTimeoutMs: 400,
        drainTimeoutMs: 3_000,
    });
    let run = 0;
    const property = fc.asyncProperty(
        fc.commands([...work, ...work, ...faults], { maxCommands: MAX_STEPS, size: "max" }),
        async commands => {
            const fuzzed = new FuzzedFleet(shop, run++);
            await fc.asyncModelRun(() => ({ model: { orders: 0 }, real: fuzzed }), commands);
            await Promise.all(fuzzed.running);
            await fuzzed.heal();
            await sleep(DEADLINE_MS);
            return violationsOf(shop) === 0;
        },
    );
    try {
        const details = await fc.check(property, { seed, numRuns: runs, endOnFailure: true });
        if (details.failed) {
            process.stdout.write(`${fc.stringify(details.counterexample)} ${String(details.errorInstance ?? "")}\n`);
        }
        const violations = violationsOf(shop);
        process.stdout.write(`requests=${shop.caller.records.length} runs=${run}\n`);
        process.stdout.write(
            `seed=${seed} runs=${runs} violations=${details.failed ? Math.max(1, violations) : violations}\n`,
        );
        return { seed, runs, violations };
    }
    finally {
        await shop.stop();
    }
}

function violationsOf(shop: DeliveryFleet): number {
    const check = checkRecords(shop.caller.records, shop.fleet.records());
    return check.duplicated + check.lost + check.wrongResponse + check.falseNotRun;
}
