import type { Target } from "./target.js";
import { targetKey } from "./targetKey.js";

/** Number of objects that a target is assumed to keep warm. */
const MAX_OBJECTS_PER_TARGET = 60;

/** Tracks which objects each target has handled recently, for this host and as reported by other hosts. */
export class WarmObjects {
    private readonly byTarget = new Map<string, Map<string, true>>();
    private newPairs: [targetKey: string, object: string][] = [];

    /** Records that this host sends the target a request for the object. */
    recordHandled(target: Target, object: string): void {
        if (!this.isWarm(target, object)) {
            this.newPairs.push([targetKey(target), object]);
        }
        this.add(targetKey(target), object);
    }

    /** Records a pair that another host reported; `takeNewPairs` does not return it. Returns whether it was unknown. */
    recordRemote(targetKey: string, object: string): boolean {
        const isNew = this.byTarget.get(targetKey)?.has(object) !== true;
        this.add(targetKey, object);
        return isNew;
    }

    /** Whether any pair is known. */
    get isKnown(): boolean {
        return this.byTarget.size > 0;
    }

    /** Whether the target has handled the object recently. */
    isWarm(target: Target, object: string): boolean {
        return this.byTarget.get(targetKey(target))?.has(object) ?? false;
    }

    /** Number of objects that are warm on the target. */
    countFor(target: Target): number {
        return this.byTarget.get(targetKey(target))?.size ?? 0;
    }

    /** Returns the pairs recorded by this host since the last call, to be sent to other hosts. */
    takeNewPairs(): [targetKey: string, object: string][] {
        const { newPairs } = this;
        this.newPairs = [];
        return newPairs;
    }

    /** Returns all pairs, as initial state for a host that has just started. */
    all(): [targetKey: string, object: string][] {
        return [...this.byTarget].flatMap(([key, objects]) =>
            [...objects.keys()].map((object): [string, string] => [key, object])
        );
    }

    /** Removes the objects of all other targets. */
    retain(targets: readonly Target[]): void {
        const keys = new Set(targets.map(targetKey));
        [...this.byTarget.keys()].filter(key => !keys.has(key)).forEach(key => this.byTarget.delete(key));
    }

    private add(key: string, object: string): void {
        let objects = this.byTarget.get(key);
        if (objects === undefined) {
            objects = new Map();
            this.byTarget.set(key, objects);
        }
        objects.delete(object);
        objects.set(object, true);
        const oldest = objects.keys().next().value;
        if (objects.size > MAX_OBJECTS_PER_TARGET && oldest !== undefined) {
            objects.delete(oldest);
        }
    }
}
