import type { SlotLedger } from "./slotLedger.js";
import type { TargetCandidate } from "./targetCandidate.js";
import type { TargetChooser } from "./targetChooser.js";

interface NearestLeastLoadedOptions {
    readonly availabilityZone: string;
    readonly region: string;
    readonly slots: SlotLedger;
    readonly random?: () => number;
}

/** Prefers the own availability zone, then the own region; among equals the less loaded of two random targets. */
export class NearestLeastLoaded implements TargetChooser {
    private readonly random: () => number;

    constructor(private readonly opts: NearestLeastLoadedOptions) {
        this.random = opts.random ?? Math.random;
    }

    choose<T extends TargetCandidate>(candidates: readonly T[]): T | undefined {
        const free = candidates.filter(target => this.opts.slots.hasFreeSlot(target));
        const nearest = Math.min(...free.map(target => this.distance(target)));
        return this.lessLoadedOfTwo(free.filter(target => this.distance(target) === nearest));
    }

    private distance(target: TargetCandidate): number {
        if (target.availabilityZone === this.opts.availabilityZone) {
            return 0;
        }
        return target.region === this.opts.region ? 1 : 2;
    }

    private lessLoadedOfTwo<T extends TargetCandidate>(targets: readonly T[]): T | undefined {
        const first = targets[Math.floor(this.random() * targets.length)];
        const second = targets[Math.floor(this.random() * targets.length)];
        if (first === undefined || second === undefined) {
            return undefined;
        }
        return this.load(first) <= this.load(second) ? first : second;
    }

    private load(target: TargetCandidate): number {
        return this.opts.slots.runningOn(target.id) / target.slots;
    }
}
