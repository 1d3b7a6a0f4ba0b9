import { Logger } from "@pistachioreel/logging";
import type { FeedEntry } from "@pistachioreel/platform-store";
import { Failure } from "@pistachioreel/result-code";
import { waitUntil } from "@pistachioreel/testing";
import { err } from "neverthrow";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { createReplicatedFeed } from "../src/createReplicatedFeed.js";
import { FeedFollower } from "../src/feedFollower.js";
import { FeedReplication } from "../src/feedReplication.js";
import { MeshStandIn } from "./meshStandIn.js";

const WAIT_TIMEOUT_MS = 2_000;

function createHost(hostId: string, usesRelay: boolean, { isStarting = false } = {}) {
    const logger = new Logger("replication-test", { write: () => undefined });
    const { signal } = new AbortController();
    const follower = new FeedFollower<string>({
        name: "things",
        feed: {
            read: async () => err(new Failure("storeUnreachable")),
            follow: async () => err(new Failure("storeUnreachable")),
        },
        onChange: () => undefined,
        hostCount: () => 1,
        logger,
        now: () => performance.now(),
        signal,
    });
    const feed = newReplicatedFeed(follower);
    const mesh = new MeshStandIn({ hostId, incarnation: `${hostId}-1`, availabilityZone: "a", region: "r" });
    const replication = new FeedReplication({
        mesh,
        usesRelay: () => usesRelay,
        isFirstStart: !isStarting,
        feeds: new Map([["things", feed]]),
        logger,
        now: () => performance.now(),
        signal,
    });
    const names = () => follower.liveEntries.map(({ name }) => name).sort();
    return { follower, mesh, replication, names };
}

function newReplicatedFeed(follower: FeedFollower<string>) {
    return createReplicatedFeed(follower, {
        decode: value => value as string,
        encode: value => value,
        now: () => performance.now(),
    });
}

function entry(name: string, revision: number, value: string | undefined = name): FeedEntry<string> {
    return { name, era: 1, revision, value };
}

describe("feeds received from other hosts", () => {
    it("include a removal that bears the revision of an older change, so that no removed target stays in use", async () => {
        const relay = createHost("relay", false);
        const host = createHost("host", true);
        MeshStandIn.link(host.mesh, relay.mesh);
        const report = () =>
            host.replication.handleReport(
                relay.mesh.self,
                relay.replication.positions,
                relay.replication.changeCounts,
            );
        relay.follower.merge({ entries: [entry("a", 5), entry("b", 9)], era: 1, revision: 9 });
        report();
        await waitUntil(async () => host.names().length === 2, WAIT_TIMEOUT_MS);
        relay.follower.merge({ entries: [{ name: "a", era: 1, revision: 5, value: undefined }], era: 1, revision: 9 });
        report();
        await waitUntil(async () => host.names().join() === "b", WAIT_TIMEOUT_MS);
    });

    it("state when a removed target was last known to exist, as it would get requests past its drain bound", async () => {
        const relay = createHost("relay", false);
        const host = createHost("host", true);
        relay.follower.merge({ entries: [entry("a", 5)], era: 1, revision: 5 });
        host.follower.merge({ entries: [entry("a", 5)], era: 1, revision: 5 });
        const lastSeenAt = performance.now() - 1_500;
        relay.follower.merge({
            entries: [{ name: "a", era: 1, revision: 5, value: undefined, lastSeenAt }],
            era: 1,
            revision: 6,
        });
        newReplicatedFeed(host.follower).merge(newReplicatedFeed(relay.follower).encode());
        const [received] = host.follower.page.entries;
        assert.ok(Math.abs(received!.lastSeenAt! - lastSeenAt) < 100);
    });

    it("contain only what the requesting host lacks", async () => {
        const relay = createHost("relay", false);
        relay.follower.merge({ entries: [entry("a", 5), entry("b", 9)], era: 1, revision: 9 });
        const feed = newReplicatedFeed(relay.follower);
        const page = feed.encode({ era: 1, revision: 5 }) as { entries: { name: string; }[]; };
        assert.deepEqual(page.entries.map(({ name }) => name), ["b"]);
    });

    it("are not requested by a host that follows the store before the store had time to deliver them", async () => {
        const peer = createHost("peer", false);
        const host = createHost("host", false);
        MeshStandIn.link(host.mesh, peer.mesh);
        host.follower.merge({ entries: [], era: 1, revision: 1 });
        peer.follower.merge({ entries: [entry("a", 5)], era: 1, revision: 5 });
        host.replication.handleReport(peer.mesh.self, peer.replication.positions, peer.replication.changeCounts);
        await sleep(100);
        assert.deepEqual(host.mesh.requested, []);
        await waitUntil(async () => host.names().join() === "a", WAIT_TIMEOUT_MS);
    });

    it("are requested by a host that starts although it has read the store, which may have lost what others know", async () => {
        const peer = createHost("peer", false);
        const host = createHost("host", false, { isStarting: true });
        MeshStandIn.link(host.mesh, peer.mesh);
        peer.follower.merge({ entries: [entry("a", 5), entry("b", 7)], era: 1, revision: 7 });
        host.follower.merge({ entries: [{ ...entry("a", 5), era: 2 }], era: 2, revision: 5 });
        assert.equal(host.replication.hasHeardPeers, false);
        host.replication.handleReport(peer.mesh.self, peer.replication.positions, peer.replication.changeCounts);
        await waitUntil(async () => host.names().join() === "a,b", WAIT_TIMEOUT_MS);
        assert.ok(host.replication.hasHeardPeers);
    });

    it("are known to be missing while the relay does not deliver them, so that the host reads the store", async () => {
        const relay = createHost("relay", false);
        const host = createHost("host", true);
        MeshStandIn.link(host.mesh, relay.mesh);
        host.mesh.isSilent = true;
        relay.follower.merge({ entries: [entry("a", 5)], era: 1, revision: 5 });
        host.replication.handleReport(relay.mesh.self, relay.replication.positions, relay.replication.changeCounts);
        await sleep(60);
        assert.ok(host.replication.lagMs >= 40, String(host.replication.lagMs));
        host.mesh.isSilent = false;
        host.replication.handleReport(relay.mesh.self, relay.replication.positions, relay.replication.changeCounts);
        await waitUntil(async () => host.replication.lagMs === 0, WAIT_TIMEOUT_MS);
    });
});
