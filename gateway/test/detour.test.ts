import { getFreePort } from "@pistachioreel/testing";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Detour } from "../src/detour.js";
import type { DetourHost } from "../src/detourHost.js";
import type { RelayedRequest } from "../src/relayedRequest.js";

/** Passes on a request that only the given regions may get; resolves to the id of the host that was chosen. */
async function chosenHost(routeRegions: readonly string[], workspaceRegions: readonly string[]) {
    const address = `127.0.0.1:${await getFreePort()}`;
    const hosts: DetourHost[] = ["north", "south", "west"].map(region => {
        return { hostId: `h-${region}`, address, token: "t", availabilityZone: `${region}-a`, region };
    });
    const detour = new Detour(
        {
            localAddress: "127.0.0.1",
            availabilityZone: "north-b",
            region: "north",
            hosts: () => hosts,
            now: () => performance.now(),
        } as unknown as ConstructorParameters<typeof Detour>[0],
    );
    const request = {
        route: { regions: routeRegions, isIdempotent: true },
        workspace: { regions: workspaceRegions },
        deadlineAt: performance.now() + 1_000,
    } as unknown as RelayedRequest;
    const opts = { excluded: new Set<string>(), maxAttempts: 1, signal: new AbortController().signal };
    return (await detour.send(request, opts))?.hostId;
}

describe("a request that goes through another host", () => {
    it("goes to no host in a region that may not get it, which sent bodies out of their home regions", async () => {
        assert.equal(await chosenHost(["south"], []), "h-south");
        assert.equal(await chosenHost([], ["west"]), "h-west");
        assert.equal(await chosenHost(["south", "west"], ["west"]), "h-west");
        assert.equal(await chosenHost(["east"], []), undefined);
    });

    it("goes to the nearest host if all regions may get it", async () => {
        assert.equal(await chosenHost([], []), "h-north");
    });
});
