import { DeliveryFleet } from "@pistachioreel/testing";
import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";

const TARGETS = 4;
const MAX_LOST = 2;
let deliveryFleet: DeliveryFleet;

before(async () => {
    const zones = Array.from({ length: TARGETS }, (_, index) => `zone-${index}`);
    deliveryFleet = await DeliveryFleet.start({ hosts: 1, zones, behaviour: { crashOn: "crash-", workMs: 20 } });
    await sleep(1_500);
});

after(() => deliveryFleet?.stop());

/** Sends a request that crashes its targets, starts these again and returns how many there were. */
async function crashTargets(marker: string): Promise<number> {
    await deliveryFleet.send(0, marker, { path: `/stock/${marker}` });
    const lost = deliveryFleet.targets.flatMap(({ address, port }, index) =>
        deliveryFleet.fleet.targets.get(`${address}:${port}`)?.hasEnded ? [index] : []
    );
    await Promise.all(lost.map(index => deliveryFleet.restartTarget(index)));
    return lost.length;
}

test("a request that crashes targets which another has just crashed and which run again is stopped as soon", async () => {
    for (let index = 0; index < 4; index++) {
        const lost = await crashTargets(`crash-${index}`);
        assert.ok(lost <= MAX_LOST, `request ${index} crashed ${lost} targets`);
    }
});
