import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { FeedEntry } from "../src/objectFeed.js";
import { supersedes } from "../src/supersedes.js";

interface Case {
    readonly candidate: Partial<FeedEntry<string>>;
    readonly known: Partial<FeedEntry<string>>;
    readonly expected: boolean;
}

const removed = { value: undefined };

const cases: Readonly<Record<string, Case>> = {
    "an older change of the same era does not undo a later one": {
        candidate: { revision: 4 },
        known: { revision: 5 },
        expected: false,
    },
    "a report that was written before the known one and carried out late does not undo it": {
        candidate: { revision: 6, order: [1, 7] },
        known: { revision: 5, order: [1, 8] },
        expected: false,
    },
    "a report that was carried out late does not bring a removed object back": {
        candidate: { revision: 6, order: [1, 7] },
        known: { revision: 5, order: [1, 8], ...removed },
        expected: false,
    },
    "a writer that has started again is followed also if its clock has gone back": {
        candidate: { revision: 6, order: [1, 2] },
        known: { revision: 5, order: [2, 8] },
        expected: true,
    },
    "a removal at the revision of the last change is applied": {
        candidate: { revision: 5, ...removed },
        known: { revision: 5 },
        expected: true,
    },
    "a change of a later era is followed although its revision is lower": {
        candidate: { era: 2, revision: 3, order: [9] },
        known: { revision: 5, order: [8] },
        expected: true,
    },
    "an older copy does not undo a change": {
        candidate: { era: 2, revision: 9, order: [7] },
        known: { revision: 5, order: [8] },
        expected: false,
    },
    "an older copy does not bring a removed object back": {
        candidate: { era: 2, revision: 9, order: [8] },
        known: { revision: 5, order: [8], ...removed },
        expected: false,
    },
    "an object that is written again after its removal is back": {
        candidate: { era: 2, revision: 9, order: [9] },
        known: { revision: 5, order: [8], ...removed },
        expected: true,
    },
    "a removal after the return is applied to an object that the copy had in an older state": {
        candidate: { era: 2, revision: 9, order: [7], ...removed },
        known: { revision: 5, order: [8] },
        expected: true,
    },
    "a removal that a peer knew before the return is applied to the object of the copy": {
        candidate: { era: 1, revision: 5, order: [8], ...removed },
        known: { era: 2, revision: 3, order: [8] },
        expected: true,
    },
    "without an order of its writer, the later era is followed": {
        candidate: { era: 2, revision: 3 },
        known: { revision: 5 },
        expected: true,
    },
};

describe("supersedes", () => {
    for (const [name, { candidate, known, expected }] of Object.entries(cases)) {
        it(name, () => {
            const entry = { name: "a", era: 1, revision: 1, value: "a" };
            assert.equal(supersedes({ ...entry, ...candidate }, { ...entry, ...known }), expected);
        });
    }
});
