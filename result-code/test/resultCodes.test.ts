import { resultCodes } from "@pistachioreel/result-code";
import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";

test("docs/errors.md has the same table as the code", () => {
    const rows = Object.entries(resultCodes).map(([name, { number, status, outcome, meaning, hint }]) =>
        `| PR${number} | ${name} | ${status} | ${outcome} | ${meaning} | ${hint} |`
    );
    const documented = readFileSync("docs/errors.md", "utf8").split("\n").filter(line => line.startsWith("| PR"));
    assert.deepEqual(documented, rows);
});

test("the numbers of result codes are unique", () => {
    const numbers = Object.values(resultCodes).map(({ number }) => number);
    assert.equal(new Set(numbers).size, numbers.length);
});
