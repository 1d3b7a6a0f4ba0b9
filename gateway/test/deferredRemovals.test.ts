import { TargetRegistry } from "@pistachioreel/placement";
import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it, mock } from "node:test";
import { newTarget } from "../../placement/test/fixtures.js";
import { DeferredRemovals } from "../src/deferredRemovals.js";

const DRAIN_BOUND_MS = 2_500;

describe("removals of targets", () => {
    const ids = ["a", "b", "c", "d"];
    let now: number;
    let removals: number;
    let storeRegainedAt: number | undefined;
    let registry: TargetRegistry;
    let hold: DeferredRemovals;

    beforeEach(() => {
        mock.timers.enable({ apis: ["setTimeout"] });
        now = 100_000;
        removals = 0;
        storeRegainedAt = -Infinity;
        registry = new TargetRegistry({ now: () => now });
        ids.forEach(id => registry.put(newTarget(id)));
        hold = new DeferredRemovals({
            registry,
            storeRegainedAt: () => storeRegainedAt,
            drainBoundMs: DRAIN_BOUND_MS,
            onRemoved: () => removals++,
            now: () => now,
        });
    });
    afterEach(() => mock.timers.reset());

    function pass(ms: number): void {
        now += ms;
        mock.timers.tick(ms);
    }

    function remove(...names: string[]): void {
        hold.apply(names.map(name => ({ name, revision: 9, value: undefined })));
    }

    it("guards against a target that has left being used on", () => {
        remove("a");
        assert.deepEqual(idsOf(registry), ["b", "c", "d"]);
    });

    it("guards against losing all targets whose entries lapsed while the store was away", () => {
        storeRegainedAt = now - 300;
        remove("a", "b", "c", "d");
        assert.equal(registry.size, 4);
        pass(1_000);
        hold.apply([{ name: "a", revision: 12, value: newTarget("a") }]);
        pass(1_500);
        assert.deepEqual(idsOf(registry), ["a"], "those that have not come back are gone");
        assert.equal(removals, 3, "what belongs to them can be forgotten");
    });

    it("guards against holding a target past the drain bound, whatever the store does", () => {
        storeRegainedAt = undefined;
        remove("a");
        pass(DRAIN_BOUND_MS - 600);
        assert.deepEqual(idsOf(registry), ["b", "c", "d"]);
    });

    it("guards against a store that was regained long ago delaying a removal", () => {
        storeRegainedAt = now - 2_100;
        remove("a");
        pass(150);
        assert.deepEqual(idsOf(registry), ["b", "c", "d"]);
    });
});

function idsOf(registry: TargetRegistry): string[] {
    return registry.all.map(({ id }) => id);
}
