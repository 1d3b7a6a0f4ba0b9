import { DeliveryFleet } from "@pistachioreel/testing";
import assert from "node:assert/strict";
import { after, before, test } from "node:test";

const MB = 1024 * 1024;
let deliveryFleet: DeliveryFleet;

before(async () => {
    deliveryFleet = await DeliveryFleet.start({ hosts: 1, deadlineMs: 20_000, attemptTimeoutMs: 3_000 });
});

after(() => deliveryFleet?.stop());

test("uploads of 32 MB are streamed to slow targets in bounded memory", async () => {
    await deliveryFleet.setBehaviour({ readPauseMs: 2 });
    const body = Buffer.alloc(32 * MB, 1);
    const rss = () => deliveryFleet.metric(0, "process_resident_memory_bytes ");
    const before = await rss();
    let peak = before;
    const sampling = setInterval(() => void rss().then(bytes => peak = Math.max(peak, bytes)), 50);
    const sent = await Promise.all(
        [0, 1, 2, 3].map(index => deliveryFleet.send(0, `upload-${index}`, { method: "POST", body })),
    );
    clearInterval(sampling);
    assert.ok(sent.every(({ outcome }) => outcome === "complete"), JSON.stringify(sent));
    const grown = (peak - before) / MB;
    process.stdout.write(`uploads: 4 of 32 MB, resident memory grew by ${grown.toFixed(0)} MB\n`);
    assert.ok(grown < 64, `resident memory grew by ${grown} MB for 128 MB of uploads`);
});
