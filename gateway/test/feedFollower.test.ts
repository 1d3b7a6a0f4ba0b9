import { Logger } from "@pistachioreel/logging";
import type { FeedEntry, FeedPage, ObjectFeed } from "@pistachioreel/platform-store";
import { Failure } from "@pistachioreel/result-code";
import { waitUntil } from "@pistachioreel/testing";
import { err, ok, type Result } from "neverthrow";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { FeedFollower } from "../src/feedFollower.js";

const WAIT_TIMEOUT_MS = 1_000;

type FeedResult = Result<FeedPage<string>, Failure>;

function entry(name: string, revision: number, value?: string): FeedEntry<string> {
    return { name, era: 1, revision, value };
}

/** Follows a feed that returns these results, one for each call; the call after the last result stops the follower. */
async function follow(
    results: readonly FeedResult[],
    opts: {
        before?: (follower: FeedFollower<string>) => void;
        onChange?: (changed: readonly FeedEntry<string>[]) => void;
        rewriteMs?: number;
    } = {},
) {
    const remaining = [...results];
    const stop = new AbortController();
    const next = (): Promise<FeedResult> => {
        const result = remaining.shift();
        if (result === undefined) {
            stop.abort();
        }
        return Promise.resolve(result ?? err(new Failure("storeUnreachable")));
    };
    const feed: ObjectFeed<string> = { read: next, follow: next };
    const values = new Map<string, string | undefined>();
    const follower = new FeedFollower<string>({
        name: "things",
        feed,
        onChange: changed => {
            opts.onChange?.(changed);
            changed.forEach(({ name, value }) => values.set(name, value));
        },
        hostCount: () => 1,
        ...(opts.rewriteMs === undefined ? {} : { rewriteMs: opts.rewriteMs }),
        logger: new Logger("follower-test", { write: () => undefined }),
        now: () => performance.now(),
        signal: stop.signal,
    });
    opts.before?.(follower);
    await follower.run();
    return { follower, values };
}

describe("FeedFollower", () => {
    it("goes on with a new read after a change that could not be applied, which would end the process", async () => {
        let changes = 0;
        const failOnce = () => {
            if (++changes === 1) {
                throw new TypeError("unexpected");
            }
        };
        const page = (revision: number) =>
            ok({ entries: [entry("a", revision, `value ${revision}`)], era: 1, revision });
        const { values } = await follow([page(5), page(6)], { onChange: failOnce });
        assert.equal(values.get("a"), "value 6");
    });

    it("reads the store before it waits for changes, as a wait in a silent store ends only after 20 s", async () => {
        const stop = new AbortController();
        const calls: string[] = [];
        const call = (name: string) => async (): Promise<FeedResult> => {
            calls.push(name);
            stop.abort();
            return err(new Failure("storeUnreachable"));
        };
        const follower = new FeedFollower<string>({
            name: "things",
            feed: { read: call("read"), follow: call("follow") },
            onChange: () => undefined,
            hostCount: () => 1,
            logger: new Logger("follower-test", { write: () => undefined }),
            now: () => performance.now(),
            signal: stop.signal,
        });
        follower.merge({ entries: [entry("a", 7, "a")], era: 1, revision: 7 });
        await follower.run();
        assert.deepEqual(calls, ["read"]);
    });

    it("does not restore an older state of an object from a list or a peer that lags", async () => {
        const { follower, values } = await follow([
            ok({ entries: [entry("a", 10, "new")], era: 1, revision: 10 }),
            ok({ entries: [entry("a", 8, "old")], era: 1, revision: 11 }),
        ]);
        follower.merge({ entries: [entry("a", 9, "older")], era: 1, revision: 9 });
        assert.equal(values.get("a"), "new");
        assert.equal(follower.position.revision, 10);
    });

    it("removes objects that were removed while the store's history was lost", async () => {
        const { values } = await follow([
            ok({ entries: [entry("a", 3, "a"), entry("b", 4, "b")], era: 1, revision: 4 }),
            err(new Failure("historyGone")),
            ok({ entries: [entry("a", 3, "a")], era: 1, revision: 9 }),
        ]);
        assert.deepEqual([...values], [["a", "a"], ["b", undefined]]);
    });

    it("takes objects for removed just after the last response before a read, which a bound on requests to them counts from", async () => {
        const removals: FeedEntry<string>[] = [];
        const startedAt = performance.now();
        await follow([
            ok({ entries: [entry("a", 3, "a"), entry("b", 4, "b")], era: 1, revision: 4 }),
            ...Array.from({ length: 3 }, () => err(new Failure("historyGone"))),
            ok({ entries: [entry("a", 3, "a")], era: 1, revision: 9 }),
        ], { onChange: changed => removals.push(...changed.filter(({ value }) => value === undefined)) });
        assert.ok(performance.now() - startedAt > 200, "the read came late");
        assert.equal(removals.length, 1);
        assert.ok(removals[0]!.lastSeenAt! - startedAt < 100);
    });

    it("has not synced before it has received all objects, which would let the host serve too early", async () => {
        const { follower } = await follow([err(new Failure("storeUnreachable"))]);
        assert.equal(follower.hasSynced, false);
        follower.merge({ entries: [], era: 1, revision: 5 });
        assert.equal(follower.hasSynced, true);
    });

    it("follows changes made between two pages of a read, as a target that leaves then would get requests for good", async () => {
        const stop = new AbortController();
        const values = new Map<string, string | undefined>();
        const positions: number[] = [];
        const change = entry("a", 6, "leaving");
        const follower = new FeedFollower<string>({
            name: "things",
            feed: {
                read: async () =>
                    ok({ entries: [entry("a", 3, "ready"), entry("z", 9, "ready")], era: 1, revision: 4 }),
                follow: (after, _waitMs, signal) =>
                    after < change.revision
                        ? Promise.resolve(ok({ entries: [change], era: 1, revision: 9 }))
                        : new Promise(resolve =>
                            signal!.addEventListener("abort", () => resolve(err(new Failure("storeUnreachable"))))
                        ),
            },
            onChange: changed => {
                changed.forEach(({ name, value }) => values.set(name, value));
                positions.push(follower.position.revision);
            },
            hostCount: () => 1,
            logger: new Logger("follower-test", { write: () => undefined }),
            now: () => performance.now(),
            signal: stop.signal,
        });
        void follower.run();
        await waitUntil(() => values.get("a") === "leaving", WAIT_TIMEOUT_MS);
        assert.deepEqual(positions, [3, 6], "other hosts take the copy for complete up to its position");
        stop.abort();
    });

    it("keeps an object received from a peer when an older list of the store lacks it", async () => {
        const { values } = await follow([ok({ entries: [], era: 1, revision: 5 })], {
            before: follower => follower.merge({ entries: [entry("a", 7, "a")], era: 1, revision: 7 }),
        });
        assert.equal(values.get("a"), "a");
    });

    it("reports when the store recovered after a failure", async () => {
        const { follower } = await follow([
            err(new Failure("storeUnreachable")),
            ok({ entries: [], era: 1, revision: 1 }),
            ok({ entries: [], era: 1, revision: 1 }),
        ]);
        assert.ok(follower.regainedAt > 0);
    });

    it("ignores a late response from before the store came back, as its revisions mean something else", async () => {
        const { values } = await follow([
            ok({ entries: [inEra(2, entry("a", 3, "new"))], era: 2, revision: 3 }),
            ok({ entries: [entry("a", 50, "late")], era: 1, revision: 50 }),
        ]);
        assert.equal(values.get("a"), "new");
    });

    it("reads all objects again when the store has come back, also if its revisions have passed the known one", async () => {
        const { values } = await follow([
            ok({ entries: [entry("a", 5, "a")], era: 1, revision: 5 }),
            ok({ entries: [inEra(2, entry("b", 8, "b"))], era: 2, revision: 8 }),
            ok({ entries: ["a", "b", "c"].map(name => inEra(2, entry(name, 7, name))), era: 2, revision: 8 }),
        ]);
        assert.deepEqual([...values.keys()].sort(), ["a", "b", "c"]);
    });

    it("keeps objects that the copy lacks until they had time to be written again, over two restores", async () => {
        const { values } = await follow([
            ok({ entries: [entry("a", 5, "a"), entry("b", 6, "b")], era: 1, revision: 6 }),
            ...[2, 3].flatMap((era): FeedResult[] => [
                err(new Failure("historyGone")),
                ok({ entries: [inEra(era, entry("a", 4, "a"))], era, revision: 4 }),
            ]),
        ]);
        assert.equal(values.get("b"), "b");
    });

    it("reads again when a check finds the history of a silent watch gone, as the watch would hide a restored store", async () => {
        const stop = new AbortController();
        let reads = 0;
        const follower = new FeedFollower<string>({
            name: "things",
            feed: {
                read: async () =>
                    ++reads === 1
                        ? ok({ entries: [entry("a", 13, "a")], era: 1, revision: 13 })
                        : ok({ entries: [inEra(2, entry("a", 9, "b"))], era: 2, revision: 9 }),
                follow: (_after, waitMs, signal) =>
                    waitMs === 0
                        ? Promise.resolve(err(new Failure("historyGone")))
                        : new Promise(resolve =>
                            signal!.addEventListener("abort", () => resolve(err(new Failure("storeUnreachable"))))
                        ),
            },
            onChange: () => undefined,
            hostCount: () => 1,
            logger: new Logger("follower-test", { write: () => undefined }),
            now: () => performance.now(),
            signal: stop.signal,
        });
        void follower.run();
        await waitUntil(() => reads === 1, WAIT_TIMEOUT_MS);
        await sleep(50);
        await follower.catchUp();
        await waitUntil(() => follower.position.era === 2, WAIT_TIMEOUT_MS);
        stop.abort();
    });

    it("removes what the copy lacks and nobody writes again, which would stay for ever", async () => {
        const copy = ok({ entries: [inEra(2, entry("a", 4, "a"))], era: 2, revision: 4 });
        const { values } = await follow([
            ok({ entries: [entry("a", 5, "a"), entry("b", 6, "b")], era: 1, revision: 6 }),
            err(new Failure("historyGone")),
            copy,
            copy,
            copy,
        ], { rewriteMs: 1 });
        assert.equal(values.get("b"), undefined);
        assert.ok(values.has("b"));
    });
});

function inEra(era: number, changed: FeedEntry<string>): FeedEntry<string> {
    return { ...changed, era };
}
