import { createHash } from "node:crypto";
import type { Target } from "./target.js";

const MAX_CACHED = 4_096;
/** Keeps work near without making the load of a region follow its own callers alone. */
const OWN_REGION_WEIGHT = 3;

/**
 * Orders the targets of a set for each object by rendezvous hashing. Hosts of a region that know the same targets agree
 * on the order without talking to each other, and a target that comes or goes changes little of it.
 */
export class RendezvousRanking {
    private readonly cache = new Map<string, readonly Target[]>();

    /** @param region Hosts of this region ask; its targets are home to more of their objects. */
    constructor(private readonly region: string) {}

    /** @param scope Names the set of targets; another set needs another name. */
    rank(object: string, scope: string, targets: readonly Target[]): readonly Target[] {
        const key = `${scope}\n${object}`;
        let ranked = this.cache.get(key);
        if (ranked === undefined) {
            ranked = targets.map(target => ({ target, weight: this.weightOf(object, target) }))
                .sort((a, b) => b.weight - a.weight)
                .map(({ target }) => target);
            if (this.cache.size >= MAX_CACHED) {
                this.cache.clear();
            }
            this.cache.set(key, ranked);
        }
        return ranked;
    }

    clear(): void {
        this.cache.clear();
    }

    /** Weighted rendezvous hashing: a target with more slots, or one that is near, is home to more objects. */
    private weightOf(object: string, { id, slots, region }: Target): number {
        const hash = createHash("md5").update(`${id}\n${object}`).digest().readUInt32BE(0);
        const uniform = (hash + 0.5) / 2 ** 32;
        return -slots * (region === this.region ? OWN_REGION_WEIGHT : 1) / Math.log(uniform);
    }
}
