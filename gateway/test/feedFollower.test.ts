import { Logger } from "@pistachioreel/logging";
import type { FeedEntry, FeedPage, ObjectFeed } from "@pistachioreel/platform-store";
import { Failure } from "@pistachioreel/result-code";
import { err, ok, type Result } from "neverthrow";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { FeedFollower } from "../src/feedFollower.js";

type FeedResult = Result<FeedPage<string>, Failure>;

function entry(name: string, revision: number, value?: string): FeedEntry<string> {
    return { name, revision, value };
}

/** Follows a feed that returns these results, one for each call; the call after the last result stops the follower. */
async function follow(
    results: readonly FeedResult[],
    opts: { before?: (follower: FeedFollower<string>) => void; onChange?: () => void; } = {},
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
            opts.onChange?.();
            changed.forEach(({ name, value }) => values.set(name, value));
        },
        hostCount: () => 1,
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
        const page = (revision: number) => ok({ entries: [entry("a", revision, `value ${revision}`)], revision });
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
        follower.merge({ entries: [entry("a", 7, "a")], revision: 7 });
        await follower.run();
        assert.deepEqual(calls, ["read"]);
    });

    it("does not restore an older state of an object from a list or a peer that lags", async () => {
        const { follower, values } = await follow([
            ok({ entries: [entry("a", 10, "new")], revision: 10 }),
            ok({ entries: [entry("a", 8, "old")], revision: 11 }),
        ]);
        follower.merge({ entries: [entry("a", 9, "older")], revision: 9 });
        assert.equal(values.get("a"), "new");
        assert.equal(follower.revision, 10);
    });

    it("removes objects that were removed while the store's history was lost", async () => {
        const { values } = await follow([
            ok({ entries: [entry("a", 3, "a"), entry("b", 4, "b")], revision: 4 }),
            err(new Failure("historyGone")),
            ok({ entries: [entry("a", 3, "a")], revision: 9 }),
        ]);
        assert.deepEqual([...values], [["a", "a"], ["b", undefined]]);
    });

    it("has not synced before it has received all objects, which would let the host serve too early", async () => {
        const { follower } = await follow([err(new Failure("storeUnreachable"))]);
        assert.equal(follower.hasSynced, false);
        follower.merge({ entries: [], revision: 5 });
        assert.equal(follower.hasSynced, true);
    });

    it("keeps an object received from a peer when an older list of the store lacks it", async () => {
        const { values } = await follow([ok({ entries: [], revision: 5 })], {
            before: follower => follower.merge({ entries: [entry("a", 7, "a")], revision: 7 }),
        });
        assert.equal(values.get("a"), "a");
    });

    it("reports when the store recovered after a failure", async () => {
        const { follower } = await follow([
            err(new Failure("storeUnreachable")),
            ok({ entries: [], revision: 1 }),
            ok({ entries: [], revision: 1 }),
        ]);
        assert.ok(follower.regainedAt > 0);
    });
});
