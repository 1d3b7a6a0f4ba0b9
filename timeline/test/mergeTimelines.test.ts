import { filterEvents, mergeTimelines, renderHtml, Timeline } from "@pistachioreel/timeline";
import assert from "node:assert/strict";
import { test } from "node:test";

/** A clock that advances by 1 ms on each reading. */
function tickingClock(start: number) {
    let time = start;
    return () => time++;
}

test("an effect on a host whose clock is behind comes after its cause, and the skew is estimated", () => {
    const ahead = new Timeline("ahead", "1", { now: tickingClock(1_000) });
    const behind = new Timeline("behind", "1", { now: tickingClock(100) });
    const cause = ahead.record("document-sent");
    behind.record("document-in-force", { cause });
    const { events, skewMs } = mergeTimelines([behind.snapshot(), ahead.snapshot()]);
    assert.deepEqual(events.map(event => event.event), ["document-sent", "document-in-force"]);
    assert.equal(skewMs.get("behind"), 900);
});

test("events of one process keep their order when its wall clock steps back", () => {
    const times = [50, 10];
    const timeline = new Timeline("host", "1", { now: () => times.shift() ?? 0 });
    timeline.record("first");
    timeline.record("second");
    assert.deepEqual(mergeTimelines([timeline.snapshot()]).events.map(event => event.event), ["first", "second"]);
});

test("a full ring buffer keeps the newest events, oldest first", () => {
    const timeline = new Timeline("host", "1", { capacity: 3 });
    ["a", "b", "c", "d", "e"].forEach(event => timeline.record(event));
    assert.deepEqual(timeline.snapshot().map(event => event.event), ["c", "d", "e"]);
});

test("filters select by workspace, request and configuration version", () => {
    const timeline = new Timeline("host", "1");
    timeline.record("request-refused", { workspace: "one", request: "r1" });
    timeline.record("document-in-force", { fields: { document: "config", version: 7 } });
    const events = timeline.snapshot();
    assert.equal(filterEvents(events, { workspace: "one", request: "r1" }).length, 1);
    assert.equal(filterEvents(events, { workspace: "two" }).length, 0);
    assert.equal(filterEvents(events, { configVersion: 7 })[0]?.event, "document-in-force");
});

test("the HTML page escapes what events contain", () => {
    const timeline = new Timeline("host", "1");
    timeline.record("request-refused", { workspace: "<script>alert(1)</script>" });
    assert.ok(!renderHtml(mergeTimelines([timeline.snapshot()])).includes("<script>alert"));
});
