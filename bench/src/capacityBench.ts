import { type FleetCapacity, measureFleets } from "./fleetCapacity.js";
import { type HostCapacity, measureHost } from "./hostCapacity.js";
import type { LinearFit } from "./linearFit.js";
import { type LookupCapacity, measureLookup } from "./lookupCapacity.js";

interface CapacityResult {
    readonly lookup?: LookupCapacity;
    readonly host?: HostCapacity;
    readonly fleet?: FleetCapacity;
}

const BLOCK_COUNTS = [250_000, 500_000, 1_000_000, 1_900_000];
const IPV6_SHARE = 0.3;
const LOOKUP_HOST_COUNT = 500;
const FLEET_SIZES = [10, 20, 40, 60];

/**
 * Measures memory, processor time and traffic at several sizes and fits lines through them, for `docs/CAPACITY.md`.
 *
 * @param args Parts to measure: `lookup`, `host`, `fleet`; all of them if empty. Numbers are fleet sizes in hosts and
 * replace the default sizes.
 */
export async function capacityBench(args: readonly string[]): Promise<CapacityResult> {
    const isSelected = (part: string) => args.length === 0 || args.includes(part);
    const sizes = args.map(Number).filter(size => size > 0);
    return {
        lookup: isSelected("lookup") ? printLookup() : undefined,
        host: isSelected("host") ? await printHost() : undefined,
        fleet: isSelected("fleet") ? await printFleet(sizes.length > 0 ? sizes : FLEET_SIZES) : undefined,
    };
}

function printLookup(): LookupCapacity {
    const lookup = measureLookup({ blockCounts: BLOCK_COUNTS, ipv6Share: IPV6_SHARE, hosts: LOOKUP_HOST_COUNT });
    lookup.points.forEach(point => printFields("lookup", point));
    printFit("lookup table bytes per block", lookup.tableBytes);
    printFit("lookup stored bytes per block", lookup.storedBytes);
    printFit("lookup load ms per block", lookup.loadMs);
    return lookup;
}

async function printHost(): Promise<HostCapacity> {
    const host = await measureHost();
    for (const { dimension, points, residentBytes, core } of host.slopes) {
        points.forEach(point => printFields(`host ${dimension}`, point));
        printFit(`host resident bytes against ${dimension}`, residentBytes);
        printFit(`host share of a core against ${dimension}`, core);
    }
    printFields("host http lookups", host.http);
    return host;
}

async function printFleet(sizes: readonly number[]): Promise<FleetCapacity> {
    const fleet = await measureFleets(sizes, point => printFields("fleet", point));
    Object.entries(fleet.fits).forEach(([name, fit]) => printFit(`fleet ${name} against hosts`, fit));
    return fleet;
}

function printFields(title: string, fields: object): void {
    const values = Object.entries(fields).map(([name, value]) => `${name}=${Number(Number(value).toPrecision(5))}`);
    print(`${title}: ${values.join(" ")}`);
}

function printFit(name: string, { slope, intercept, r2 }: LinearFit): void {
    print(`${name}: slope=${slope.toPrecision(4)} intercept=${intercept.toPrecision(4)} r2=${r2.toFixed(4)}`);
}

function print(line: string): void {
    process.stdout.write(`${line}\n`);
}
