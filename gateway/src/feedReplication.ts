import type { Logger } from "@pistachioreel/logging";
import type { PeerIdentity, PeerMesh } from "@pistachioreel/peering";
import { comparePositions, type StorePosition } from "@pistachioreel/platform-store";
import { setTimeout as sleep } from "node:timers/promises";
import type { ReplicatedFeed } from "./replicatedFeed.js";

interface FeedReplicationOptions {
    readonly mesh: PeerMesh;
    /** Whether this host relies on the relay for all changes. */
    readonly usesRelay: (hostId: string) => boolean;
    /** Whether all hosts of the fleet start for the first time, so that none knows more than the store; `false` by default. */
    readonly isFirstStart?: boolean;
    /** Replicated feeds by name. */
    readonly feeds: ReadonlyMap<string, ReplicatedFeed>;
    readonly logger: Logger;
    /** Monotonic time in ms. */
    readonly now: () => number;
    readonly signal: AbortSignal;
}

const FEED_MESSAGE_TYPE = "feed";
const FEED_REQUEST_TIMEOUT_MS = 1_000;
/** Store and peers usually report a change at the same time; a feed is requested from a peer if the store is late. */
const STORE_GRACE_PERIOD_MS = 250;
/** A host that starts is linked to another one and has its feeds within this time. */
const MAX_PEER_WAIT_MS = 800;

/**
 * Gets feeds of the store from other hosts. A host that does not follow the store requests every change from its relay at
 * once. Every host requests from others what neither the store nor its relay delivers in time.
 */
export class FeedReplication {
    /** Feeds that are being requested, by peer and name. */
    private readonly pending = new Set<string>();
    /** Changes of a peer's feed that this host has received, by feed and incarnation of the peer. */
    private readonly receivedChanges = new Map<string, number>();
    /** Monotonic time in ms since when this host has known a peer with newer changes, by feed. */
    private readonly behindSince = new Map<string, number>();
    /** Names of the feeds that another host has sent since the start. */
    private readonly receivedFeeds = new Set<string>();
    /** Monotonic time in ms. */
    private readonly startedAt: number;

    constructor(private readonly opts: FeedReplicationOptions) {
        this.startedAt = opts.now();
        opts.mesh.registerHandler(
            FEED_MESSAGE_TYPE,
            (_from, { feed, after, afterEra: era = 0 }) =>
                this.handleRequest(
                    feed,
                    typeof after === "number" && typeof era === "number" ? { era, revision: after } : undefined,
                ),
        );
    }

    /** Whether another host has sent all feeds since the start of this one, or has had the time to. */
    get hasHeardPeers(): boolean {
        const { isFirstStart = false, feeds, now } = this.opts;
        return isFirstStart || this.receivedFeeds.size === feeds.size || now() - this.startedAt > MAX_PEER_WAIT_MS;
    }

    /** Positions of the feeds of which this host has a full copy. */
    get positions(): Record<string, StorePosition> {
        return this.ofCompleteFeeds(({ position }) => position);
    }

    /** Numbers of changes of the feeds of which this host has a full copy. */
    get changeCounts(): Record<string, number> {
        return this.ofCompleteFeeds(({ changeCount }) => changeCount);
    }

    /** Longest time for which this host has lacked changes that a peer has, in ms. */
    get lagMs(): number {
        const oldest = Math.min(...this.behindSince.values());
        return Number.isFinite(oldest) ? this.opts.now() - oldest : 0;
    }

    /** Requests the feeds of which the peer has newer changes. */
    handleReport(
        from: PeerIdentity,
        positions: Readonly<Record<string, StorePosition>>,
        changeCounts: Readonly<Record<string, number>>,
    ): void {
        for (const [name, feed] of this.opts.feeds) {
            const position = positions[name];
            const isBehind = position !== undefined && isBehindPosition(feed, position);
            // The store may have come back from an older copy, so a host that starts needs what others know besides.
            const isFirst = !this.hasHeardPeers && position !== undefined && !this.receivedFeeds.has(name);
            const hasMissedChanges = isFirst || this.hasMissedChanges(from, name, changeCounts[name]);
            if (isBehind || hasMissedChanges) {
                this.behindSince.set(name, this.behindSince.get(name) ?? this.opts.now());
                void this.request(from, name, feed, { isUrgent: hasMissedChanges, position });
            }
            else if (position !== undefined) {
                this.behindSince.delete(name);
            }
        }
    }

    /** Relays pass on each change; their number also shows removals, which may have no revision of their own. */
    private hasMissedChanges(from: PeerIdentity, name: string, changeCount: number | undefined): boolean {
        return this.opts.usesRelay(from.hostId) && changeCount !== undefined &&
            changeCount !== this.receivedChanges.get(changesKey(from, name));
    }

    private async request(
        from: PeerIdentity,
        name: string,
        feed: ReplicatedFeed,
        { isUrgent, position }: { isUrgent: boolean; position: StorePosition | undefined; },
    ): Promise<void> {
        const key = `${from.hostId} ${name}`;
        if (this.pending.has(key)) {
            return;
        }
        this.pending.add(key);
        try {
            if (!isUrgent) {
                await sleep(STORE_GRACE_PERIOD_MS, undefined, { signal: this.opts.signal });
                if (position === undefined || !isBehindPosition(feed, position)) {
                    this.behindSince.delete(name);
                    return;
                }
            }
            await this.fetch(from, name, feed);
        }
        catch (cause) {
            // The sleep rejects when the signal aborts, at shutdown.
            if (!this.opts.signal.aborted) {
                const fields = { peer: from.hostId, feed: name, reason: String(cause) };
                this.opts.logger.error({ event: "peer-feed-failed", fields });
            }
        }
        finally {
            this.pending.delete(key);
        }
    }

    private async fetch(from: PeerIdentity, name: string, feed: ReplicatedFeed): Promise<void> {
        const { mesh, logger } = this.opts;
        const after = feed.isComplete && this.receivedFeeds.has(name) ? feed.position : undefined;
        const known = after === undefined ? {} : { after: after.revision, afterEra: after.era };
        const request = { type: FEED_MESSAGE_TYPE, feed: name, ...known };
        const reply = await mesh.request(from.hostId, request, FEED_REQUEST_TIMEOUT_MS);
        if (reply.isErr() || !feed.merge(reply.value["page"])) {
            logger.warn({ event: "peer-feed-missing", fields: { peer: from.hostId, feed: name } });
            return;
        }
        this.receivedFeeds.add(name);
        const { changeCount } = reply.value;
        if (typeof changeCount === "number") {
            this.receivedChanges.set(changesKey(from, name), changeCount);
        }
        this.behindSince.delete(name);
        const { era, revision } = feed.position;
        logger.info({ event: "feed-from-peer", fields: { peer: from.hostId, feed: name, era, revision } });
    }

    private handleRequest(name: unknown, after: StorePosition | undefined) {
        const feed = typeof name === "string" ? this.opts.feeds.get(name) : undefined;
        return feed === undefined
            ? undefined
            : { type: FEED_MESSAGE_TYPE, page: feed.encode(after), changeCount: feed.changeCount };
    }

    private ofCompleteFeeds<V>(valueOf: (feed: ReplicatedFeed) => V): Record<string, V> {
        const complete = [...this.opts.feeds].filter(([, { isComplete }]) => isComplete);
        return Object.fromEntries(complete.map(([name, feed]) => [name, valueOf(feed)]));
    }
}

/** Whether a peer's copy at this position has entries that this host lacks. */
function isBehindPosition(feed: ReplicatedFeed, position: StorePosition): boolean {
    return comparePositions(position, feed.position) > 0 || !feed.isComplete;
}

function changesKey({ incarnation }: PeerIdentity, feed: string): string {
    return `${incarnation} ${feed}`;
}
