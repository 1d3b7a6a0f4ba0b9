import { createHash } from "node:crypto";
import type { Target } from "./target.js";

const MAX_CACHED = 4_096;

/**
 * Orders the targets of a set for each object by rendezvous hashing. Hosts that know the same targets agree on the order
 * without talking to each other, and a target that comes or goes changes little of it.
 */
export class HomeRanking {
    private readonly cache = new Map<string, readonly Target[]>();

    /** @param scope Names the set of targets; another set needs another name. */
    rank(object: string, scope: string, targets: readonly Target[]): readonly Target[] {
        const key = `${scope}\n${object}`;
        let ranked = this.cache.get(key);
        if (ranked === undefined) {
            ranked = targets.map(target => ({ target, weight: weightOf(object, target) }))
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
}

/** Weighted rendezvous hashing: a target with more slots is home to more objects. */
function weightOf(object: string, { id, slots }: Target): number {
    const hash = createHash("md5").update(`${id}\n${object}`).digest().readUInt32BE(0);
    const uniform = (hash + 0.5) / 2 ** 32;
    return -slots / Math.log(uniform);
}
