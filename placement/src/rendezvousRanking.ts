import { createHash } from "node:crypto";
import type { Target } from "./target.js";

const MAX_CACHED_RANKINGS = 4_096;
/** Prefers targets of the own region, while still spreading part of a region's load over the others. */
const OWN_REGION_WEIGHT = 3;

/**
 * Ranks targets per object by rendezvous hashing. Hosts of a region that know the same targets compute the same ranking
 * without communicating, and adding or removing a target changes the first choice of few objects.
 */
export class RendezvousRanking {
    private readonly rankings = new Map<string, readonly Target[]>();

    /** @param region Region of this host; targets in it have a higher weight. */
    constructor(private readonly region: string) {}

    /**
     * Returns the targets by descending preference for the object.
     *
     * @param scope Cache key of the set of targets; a different set needs a different key until `clear` is called.
     */
    rank(object: string, scope: string, targets: readonly Target[]): readonly Target[] {
        const key = `${scope}\n${object}`;
        let ranked = this.rankings.get(key);
        if (ranked === undefined) {
            ranked = targets.map(target => ({ target, weight: this.weightOf(object, target) }))
                .sort((a, b) => b.weight - a.weight)
                .map(({ target }) => target);
            if (this.rankings.size >= MAX_CACHED_RANKINGS) {
                this.rankings.clear();
            }
            this.rankings.set(key, ranked);
        }
        return ranked;
    }

    /** Drops all cached rankings. */
    clear(): void {
        this.rankings.clear();
    }

    /** Weighted rendezvous hashing: a target with more slots, or in the own region, ranks first for more objects. */
    private weightOf(object: string, { id, slots, region }: Target): number {
        const hash = createHash("md5").update(`${id}\n${object}`).digest().readUInt32BE(0);
        const uniformHash = (hash + 0.5) / 2 ** 32;
        return -slots * (region === this.region ? OWN_REGION_WEIGHT : 1) / Math.log(uniformHash);
    }
}
