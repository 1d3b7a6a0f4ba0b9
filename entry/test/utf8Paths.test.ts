import { DeliveryFleet } from "@pistachioreel/testing";
import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import { sendRawRequest } from "./sendRawRequest.js";

let deliveryFleet: DeliveryFleet;

before(async () => {
    deliveryFleet = await DeliveryFleet.start({ hosts: 1, deadlineMs: 20_000 });
});

after(() => deliveryFleet?.stop());

test("a path with letters beyond ASCII does not lose its route, and reaches the target as it is", async () => {
    const reply = await sendRawRequest({
        address: deliveryFleet.fleet.callersAddressOf(0),
        lines: [
            "GET /ფასები/x HTTP/1.1",
            "host: a",
            "x-marker: letters",
            "connection: close",
            "",
            "",
        ],
    });
    assert.match(reply, /^HTTP\/1\.1 200 /);
    const paths = deliveryFleet.runsOf("letters").map(({ path = "" }) => Buffer.from(path, "latin1").toString());
    assert.deepEqual(paths, ["/ფასები/x"]);
});
