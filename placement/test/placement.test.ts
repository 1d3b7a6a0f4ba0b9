import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { newHost, newRequest, newTarget } from "./fixtures.js";

function targets(count: number, opts = {}) {
    return Array.from({ length: count }, (_, index) => newTarget(`t${index}`, opts));
}

describe("choice of a target", () => {
    it("is the same on all hosts for the same object", () => {
        const clock = { now: 0 };
        const hosts = [newHost({ clock, targets: targets(12) }), newHost({ clock, targets: targets(12).reverse() })];
        for (let i = 0; i < 50; i++) {
            const chosen = hosts.map(({ placement }) => placement.choose(newRequest(clock, { object: `o${i}` })));
            const ids = chosen.map(choice => "target" in choice ? choice.target.id : choice.refusal);
            assert.equal(ids[0], ids[1]);
        }
    });

    it("keeps a busy object on its warm target", () => {
        const clock = { now: 0 };
        const host = newHost({ clock, targets: targets(12) });
        const first = host.placement.choose(newRequest(clock));
        assert.ok("target" in first);
        host.warm.recordHandled(first.target, "o1");
        const chosen = new Set<string>();
        for (let i = 0; i < first.target.slots * 2; i++) {
            const choice = host.placement.choose(newRequest(clock));
            assert.ok("target" in choice);
            chosen.add(choice.target.id);
            host.loads.start(choice.target.id);
        }
        assert.deepEqual([...chosen], [first.target.id]);
    });

    it("bounds the queue of an object: a second target becomes warm, then requests are refused", () => {
        const clock = { now: 0 };
        const host = newHost({ clock, targets: targets(3) });
        const outcomes: string[] = [];
        for (let i = 0; i < 100; i++) {
            const choice = host.placement.choose(newRequest(clock));
            outcomes.push("target" in choice ? choice.target.id : choice.refusal);
            if ("target" in choice) {
                host.warm.recordHandled(choice.target, "o1");
                host.loads.start(choice.target.id);
            }
        }
        assert.equal(new Set(outcomes.filter(outcome => outcome !== "noRoom")).size, 2);
        assert.equal(outcomes.at(-1), "noRoom");
    });

    it("excludes targets that are draining, evacuated or in a region that is not allowed", () => {
        const clock = { now: 0 };
        const host = newHost({
            clock,
            targets: [
                newTarget("draining", { isDraining: true }),
                newTarget("evacuated", { availabilityZone: "n-b" }),
                newTarget("abroad", { region: "south", availabilityZone: "s-a" }),
            ],
        });
        host.registry.setEvacuatedZones(new Set(["n-b"]));
        const choice = host.placement.choose(newRequest(clock, { regions: ["north"] }));
        assert.equal("refusal" in choice && choice.refusal, "noTarget");
        const anywhere = host.placement.choose(newRequest(clock));
        assert.equal("target" in anywhere && anywhere.target.id, "abroad");
    });

    it("does not refuse a request because of an assumed processing time", () => {
        const clock = { now: 0 };
        const host = newHost({ clock, targets: targets(2) });
        const request = newRequest(clock, { objectiveMs: 5_000, objectiveAt: 5_000, deadlineAt: 300 });
        assert.ok("target" in host.placement.choose(request));
    });

    it("moves objects to a new target, but not all at once", () => {
        const clock = { now: 0 };
        const objects = Array.from({ length: 40 }, (_, index) => `o${index}`);
        const movedAt = (random: number) => {
            const host = newHost({ clock, targets: [newTarget("old"), newTarget("new")], random });
            objects.forEach(object => host.warm.recordHandled(newTarget("old"), object));
            return objects.filter(object => {
                const choice = host.placement.choose(newRequest(clock, { object }));
                return "target" in choice && choice.target.id === "new";
            }).length;
        };
        assert.equal(movedAt(0.5), 0);
        const moved = movedAt(0.01);
        assert.ok(moved > 5 && moved < 35, `${moved} of 40 objects`);
    });
});
