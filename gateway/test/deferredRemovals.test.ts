import { TargetRegistry } from "@pistachioreel/placement";
import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it, mock } from "node:test";
import { newTarget } from "../../placement/test/fixtures.js";
import { DeferredRemovals } from "../src/deferredRemovals.js";

const DRAIN_BOUND_MS = 2_500;

describe("DeferredRemovals", () => {
    const ids = ["a", "b", "c", "d"];
    let now: number;
    let removalCount: number;
    let storeRegainedAt: number | undefined;
    let registry: TargetRegistry;
    let deferredRemovals: DeferredRemovals;

    beforeEach(() => {
        mock.timers.enable({ apis: ["setTimeout"] });
        now = 100_000;
        removalCount = 0;
        storeRegainedAt = -Infinity;
        registry = new TargetRegistry({ now: () => now });
        ids.forEach(id => registry.put(newTarget(id)));
        deferredRemovals = new DeferredRemovals({
            registry,
            storeRegainedAt: () => storeRegainedAt,
            drainBoundMs: DRAIN_BOUND_MS,
            onRemoved: () => removalCount++,
            now: () => now,
        });
    });
    afterEach(() => mock.timers.reset());

    function advance(ms: number): void {
        now += ms;
        mock.timers.tick(ms);
    }

    function remove(...names: string[]): void {
        removeLastSeen(undefined, ...names);
    }

    function removeLastSeen(lastSeenAt: number | undefined, ...names: string[]): void {
        deferredRemovals.apply(names.map(name => ({ name, era: 1, revision: 9, value: undefined, lastSeenAt })));
    }

    it("immediately removes a target that has left", () => {
        remove("a");
        assert.deepEqual(idsOf(registry), ["b", "c", "d"]);
    });

    it("keeps targets whose entries expired while the store was unreachable until they can register again", () => {
        storeRegainedAt = now - 300;
        remove("a", "b", "c", "d");
        assert.equal(registry.size, 4);
        advance(1_000);
        deferredRemovals.apply([{ name: "a", era: 1, revision: 12, value: newTarget("a") }]);
        advance(1_500);
        assert.deepEqual(idsOf(registry), ["a"], "targets that have not registered again are removed");
        assert.equal(removalCount, 3, "each removal is reported, so that state about the target can be pruned");
    });

    it("does not defer a removal past the drain bound while the store is unreachable", () => {
        storeRegainedAt = undefined;
        remove("a");
        advance(DRAIN_BOUND_MS - 600);
        assert.deepEqual(idsOf(registry), ["b", "c", "d"]);
    });

    it("does not defer removals past the drain bound that this host has learned of late", () => {
        removeLastSeen(now - 1_000, "a", "b", "c", "d");
        assert.equal(registry.size, 4);
        advance(DRAIN_BOUND_MS - 1_600);
        assert.equal(registry.size, 0);
    });

    it("does not defer removals that this host has learned of after the drain bound", () => {
        removeLastSeen(now - DRAIN_BOUND_MS, "a", "b", "c", "d");
        assert.equal(registry.size, 0);
    });

    it("defers a removal only until the time for registering again after the store's recovery has passed", () => {
        storeRegainedAt = now - 2_100;
        remove("a");
        advance(150);
        assert.deepEqual(idsOf(registry), ["b", "c", "d"]);
    });
});

function idsOf(registry: TargetRegistry): string[] {
    return registry.all.map(({ id }) => id);
}
