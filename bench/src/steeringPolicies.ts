import { type SlotUsage, type TargetCandidate, type TargetChooser } from "@pistachioreel/steering";

interface PolicyOptions {
    readonly availabilityZone: string;
    readonly region: string;
    /** Running requests of this host. */
    readonly ownUsage: SlotUsage;
    /** Running requests of all hosts; only `all-knowing` reads it. */
    readonly globalUsage: SlotUsage;
}

type Selection = <T extends TargetCandidate>(free: readonly T[]) => T | undefined;

/**
 * Baseline policies by name. Each chooses among the nearest targets with a free slot, by the counts of this host or,
 * for `all-knowing`, by the actual counts of all hosts.
 */
export const steeringPolicies: Readonly<Record<string, (opts: PolicyOptions) => TargetChooser>> = {
    "random": opts => nearest(opts, opts.ownUsage, selectRandom),
    "round-robin": opts => {
        let nextIndex = 0;
        return nearest(opts, opts.ownUsage, free => free[nextIndex++ % free.length]);
    },
    "least-own": opts => nearest(opts, opts.ownUsage, free => leastLoaded(free, opts.ownUsage)),
    "all-knowing": opts => nearest(opts, opts.globalUsage, free => leastLoaded(free, opts.globalUsage)),
};

function nearest({ availabilityZone, region }: PolicyOptions, counts: SlotUsage, select: Selection): TargetChooser {
    const distance = (target: TargetCandidate) =>
        target.availabilityZone === availabilityZone ? 0 : target.region === region ? 1 : 2;
    return {
        choose: candidates => {
            const free = candidates.filter(target => counts.runningOn(target.id) < target.slots);
            const shortest = Math.min(...free.map(distance));
            return select(free.filter(target => distance(target) === shortest));
        },
    };
}

function selectRandom<T>(free: readonly T[]): T | undefined {
    return free[Math.floor(Math.random() * free.length)];
}

function leastLoaded<T extends TargetCandidate>(free: readonly T[], counts: SlotUsage): T | undefined {
    const load = (target: T) => counts.runningOn(target.id) / target.slots;
    const lowestLoad = Math.min(...free.map(load));
    return selectRandom(free.filter(target => load(target) === lowestLoad));
}
