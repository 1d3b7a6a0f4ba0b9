import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { SharedMemory } from "../src/sharedMemory.js";

const MAX_BYTES = 1_000;

describe("memory that is shared", () => {
    it("is not taken whole by one holder, which had the requests of all others refused", () => {
        const memory = new SharedMemory({ maxBytes: MAX_BYTES });
        assert.equal(memory.tryTake("a", 750), true);
        assert.equal(memory.tryTake("a", 1), false);
        assert.equal(memory.tryTake("b", 250), true);
        assert.equal(memory.tryTake("c", 1), false);
        memory.release("a", 750);
        assert.equal(memory.tryTake("b", 500), true);
    });

    it("tells once that a holder is refused, until it has returned all", () => {
        const refused: string[] = [];
        const memory = new SharedMemory({ maxBytes: MAX_BYTES, onRefused: holder => refused.push(holder) });
        memory.tryTake("a", 700);
        memory.tryTake("a", 100);
        memory.tryTake("a", 100);
        memory.release("a", 700);
        memory.tryTake("a", 800);
        assert.deepEqual(refused, ["a", "a"]);
    });

    it("never exceeds its limit, serves small holders first, and is free once all have returned theirs", () => {
        const takes = fc.array(fc.tuple(fc.constantFrom("a", "b", "c"), fc.integer({ min: 0, max: 400 })));
        fc.assert(fc.property(takes, all => {
            const memory = new SharedMemory({ maxBytes: MAX_BYTES });
            const taken = all.filter(([holder, bytes]) => memory.tryTake(holder, bytes));
            assert.equal(memory.used, taken.reduce((sum, [, bytes]) => sum + bytes, 0));
            assert.ok(memory.used <= MAX_BYTES);
            const isAlmostFull = memory.used > MAX_BYTES - MAX_BYTES / 4;
            assert.equal(memory.tryTake("d", MAX_BYTES / 4), !isAlmostFull);
            memory.release("d", isAlmostFull ? 0 : MAX_BYTES / 4);
            taken.forEach(([holder, bytes]) => memory.release(holder, bytes));
            assert.equal(memory.used, 0);
        }));
    });
});
