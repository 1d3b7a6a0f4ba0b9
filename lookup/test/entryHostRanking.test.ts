import { EntryHostRanking } from "@pistachioreel/lookup";
import assert from "node:assert/strict";
import { test } from "node:test";

type Host = ConstructorParameters<typeof EntryHostRanking>[0][number];

/** Returns `perZone` hosts in each of four zones of two regions. */
function createHosts(perZone: number, overridesOf: (id: string) => Partial<Host> = () => ({})): Host[] {
    return ["a-1", "a-2", "b-1", "b-2"].flatMap(availabilityZone =>
        Array.from({ length: perZone }, (_, index): Host => {
            const id = `${availabilityZone}.${index}`;
            const region = availabilityZone.slice(0, 1);
            return { id, callers: id, availabilityZone, region, state: "live", ...overridesOf(id) };
        })
    );
}

const location = { availabilityZones: ["b-2", "b-1"], regions: ["b"] };

test("hosts of the preferred zones come first, in order, then those of the preferred regions, then others", () => {
    const ranked = new EntryHostRanking(createHosts(1)).rank(location);
    assert.deepEqual(ranked.slice(0, 2), ["b-2.0", "b-1.0"]);
    assert.deepEqual(ranked.slice(2).sort(), ["a-1.0", "a-2.0"]);
});

test("hosts that are leaving or overloaded are ranked only if there are no others", () => {
    const leaving = (id: string): Partial<Host> => id === "b-2.0" ? { state: "leaving" } : {};
    const unfit = new Set(["b-1.0"]);
    assert.deepEqual(new EntryHostRanking(createHosts(1, leaving), { unfit }).rank(location).sort(), [
        "a-1.0",
        "a-2.0",
    ]);
    const allUnfit = new Set(createHosts(1).map(host => host.id));
    assert.equal(new EntryHostRanking(createHosts(1), { unfit: allUnfit }).rank(location).length, 4);
});

test("the first host is evenly distributed over the nearest zone, and two of another zone remain if it fails", () => {
    const ranking = new EntryHostRanking(createHosts(50));
    const firstHostCounts = new Map<string, number>();
    for (let call = 0; call < 10_000; call++) {
        const addresses = ranking.rank(location);
        assert.equal(new Set(addresses).size, 10);
        assert.ok(addresses.slice(0, 8).every(id => id.startsWith("b-2")));
        assert.ok(addresses.slice(8).every(id => id.startsWith("b-1")));
        firstHostCounts.set(addresses[0] as string, (firstHostCounts.get(addresses[0] as string) ?? 0) + 1);
    }
    // 10,000 results over 50 hosts: 200 each with a standard deviation of 14; the bounds are 5 deviations.
    assert.equal(firstHostCounts.size, 50);
    assert.ok(
        [...firstHostCounts.values()].every(count => count > 130 && count < 270),
        String([...firstHostCounts.values()]),
    );
});
