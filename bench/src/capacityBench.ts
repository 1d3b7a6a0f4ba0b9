import type { LinearFit } from "./linearFit.js";
import { type LookupCapacity, measureLookup } from "./lookupCapacity.js";

interface CapacityResult {
    readonly lookup: LookupCapacity;
}

const BLOCK_COUNTS = [250_000, 500_000, 1_000_000, 1_900_000];
const IPV6_SHARE = 0.3;
const HOSTS = 500;

/** Measures what each part costs at several sizes and fits lines, for `docs/CAPACITY.md`. */
export function capacityBench(): Promise<CapacityResult> {
    const lookup = measureLookup({ blockCounts: BLOCK_COUNTS, ipv6Share: IPV6_SHARE, hosts: HOSTS });
    for (const point of lookup.points) {
        print(Object.entries(point).map(([name, value]) => `${name}=${Number(value).toFixed(0)}`).join(" "));
    }
    printFit("table bytes per block", lookup.tableBytes);
    printFit("stored bytes per block", lookup.storedBytes);
    printFit("load ms per block", lookup.loadMs);
    return Promise.resolve({ lookup });
}

function printFit(name: string, { slope, intercept, r2 }: LinearFit): void {
    print(`${name}: slope=${slope.toPrecision(4)} intercept=${intercept.toPrecision(4)} r2=${r2.toFixed(4)}`);
}

function print(line: string): void {
    process.stdout.write(`${line}\n`);
}
