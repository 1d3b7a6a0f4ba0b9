import type { Target } from "./target.js";
import { targetKey } from "./targetKey.js";

/** Objects that a target is taken to remember. */
const REMEMBERED_OBJECTS = 60;

/** Which objects each target has lately handled, for this host and as others report it. */
export class WarmObjects {
    private readonly byTarget = new Map<string, Map<string, true>>();
    private noted: [targetKey: string, object: string][] = [];

    /** Takes note of a request that the target has handled. */
    recordHandled(target: Target, object: string): void {
        if (!this.isWarm(target, object)) {
            this.noted.push([targetKey(target), object]);
        }
        this.add(targetKey(target), object);
    }

    /** Takes note of what another host has seen. */
    recordRemote(targetKey: string, object: string): void {
        this.add(targetKey, object);
    }

    isWarm(target: Target, object: string): boolean {
        return this.byTarget.get(targetKey(target))?.has(object) ?? false;
    }

    /** Objects that the target is taken to remember. */
    countFor(target: Target): number {
        return this.byTarget.get(targetKey(target))?.size ?? 0;
    }

    /** Pairs that are new since the last call, for the other hosts. */
    takeNewPairs(): [targetKey: string, object: string][] {
        const { noted } = this;
        this.noted = [];
        return noted;
    }

    /** All pairs, for a host that has just started. */
    all(): [targetKey: string, object: string][] {
        return [...this.byTarget].flatMap(([key, objects]) =>
            [...objects.keys()].map((object): [string, string] => [key, object])
        );
    }

    /** Forgets targets that are gone. */
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
        if (objects.size > REMEMBERED_OBJECTS && oldest !== undefined) {
            objects.delete(oldest);
        }
    }
}
