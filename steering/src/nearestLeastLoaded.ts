import type { TargetCandidate } from "./targetCandidate.js";
import type { TargetChooser } from "./targetChooser.js";
import type { TargetStatistics } from "./targetStatistics.js";

interface NearestLeastLoadedOptions {
    readonly availabilityZone: string;
    readonly region: string;
    readonly statistics: TargetStatistics;
    readonly random?: () => number;
}

/** A target below this weight is used only if no target of at least this weight, in any region, is usable. */
const PREFERRED_WEIGHT = 0.25;

/**
 * Prefers targets in this host's availability zone, then in its region. Among equally near ones, it chooses the less
 * loaded of two random targets.
 */
export class NearestLeastLoaded implements TargetChooser {
    private readonly random: () => number;

    constructor(private readonly opts: NearestLeastLoadedOptions) {
        this.random = opts.random ?? Math.random;
    }

    choose<T extends TargetCandidate>(candidates: readonly T[]): T | undefined {
        const { statistics } = this.opts;
        const free = candidates.filter(target => statistics.hasFreeSlot(target));
        const usable = free.filter(target => !statistics.isBackedOff(target));
        const preferred = usable.filter(target => statistics.weightOf(target) >= PREFERRED_WEIGHT);
        return this.fromNearest(preferred) ?? this.fromNearest(usable) ?? this.probe(candidates, free);
    }

    /**
     * Tries idle targets in backoff if more than half of the slots are in backoff, because the remaining targets alone
     * would be overloaded.
     */
    private probe<T extends TargetCandidate>(candidates: readonly T[], free: readonly T[]): T | undefined {
        const { statistics } = this.opts;
        const slotsOf = (targets: readonly T[]) => targets.reduce((sum, target) => sum + target.slots, 0);
        const backedOff = candidates.filter(target => statistics.isBackedOff(target));
        return slotsOf(backedOff) * 2 > slotsOf(candidates)
            ? this.fromNearest(free.filter(target => statistics.isBackedOff(target) && statistics.isIdle(target)))
            : undefined;
    }

    private fromNearest<T extends TargetCandidate>(targets: readonly T[]): T | undefined {
        const nearest = Math.min(...targets.map(target => this.distance(target)));
        return this.lessLoadedOfTwo(targets.filter(target => this.distance(target) === nearest));
    }

    private distance(target: TargetCandidate): number {
        if (target.availabilityZone === this.opts.availabilityZone) {
            return 0;
        }
        return target.region === this.opts.region ? 1 : 2;
    }

    private lessLoadedOfTwo<T extends TargetCandidate>(targets: readonly T[]): T | undefined {
        const position = Math.floor(this.random() * targets.length);
        const first = targets[position];
        const step = 1 + Math.floor(this.random() * (targets.length - 1));
        const second = targets[(position + step) % targets.length];
        if (first === undefined || second === undefined) {
            return first;
        }
        return this.opts.statistics.score(first) <= this.opts.statistics.score(second) ? first : second;
    }
}
