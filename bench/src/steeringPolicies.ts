import { type SlotUsage, type TargetCandidate, type TargetChooser } from "@pistachioreel/steering";

interface PolicyOptions {
    readonly availabilityZone: string;
    readonly region: string;
    /** Requests that the host has running. */
    readonly ownUsage: SlotUsage;
    /** Requests that all hosts have running; only the all-knowing chooser reads it. */
    readonly globalUsage: SlotUsage;
}

type Selection = <T extends TargetCandidate>(free: readonly T[]) => T | undefined;

/** Baselines: the nearest targets with a free slot by own counts, or by true counts for the all-knowing chooser. */
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
