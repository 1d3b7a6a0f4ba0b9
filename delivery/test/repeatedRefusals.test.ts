import { DeliveryFleet } from "@pistachioreel/testing";
import assert from "node:assert/strict";
import { after, before, test } from "node:test";

let deliveryFleet: DeliveryFleet;

before(async () => {
    deliveryFleet = await DeliveryFleet.start({ hosts: 1, deadlineMs: 1_500 });
});

after(() => deliveryFleet?.stop());

test("a repeated refusal of an earlier request does not refuse a request that runs", async () => {
    await deliveryFleet.setBehaviour({ repeatsRefusals: true });
    for (let i = 0; i < 12; i++) {
        const record = await deliveryFleet.sendOrder(0, `repeated-refusal-${i}`);
        const runs = deliveryFleet.runsOf(record.marker).length;
        assert.ok(runs <= 1 && (record.outcome !== "not-run" || runs === 0), `${record.outcome}, ${runs} runs`);
    }
});
