import type { Logger } from "@pistachioreel/logging";
import type { PeerIdentity, PeerMesh } from "@pistachioreel/peering";
import type { TargetLoads, WarmObjects } from "@pistachioreel/placement";
import { setTimeout as sleep } from "node:timers/promises";
import { z } from "zod";
import { type GatewayReport, gatewayReportSchema } from "./gatewayReport.js";
import type { HostDirectory } from "./hostDirectory.js";
import type { ReplicatedFeed } from "./replicatedFeed.js";
import type { WorkspaceLimits } from "./workspaceLimits.js";

interface PeerStateExchangeOptions {
    readonly mesh: PeerMesh;
    readonly state: () => GatewayReport["state"];
    /** `address:port` of this host's listener for callers. */
    readonly callers: string;
    readonly loads: TargetLoads;
    readonly warm: WarmObjects;
    readonly limits: WorkspaceLimits;
    readonly directory: HostDirectory;
    /** Replicated feeds by name. */
    readonly feeds: ReadonlyMap<string, ReplicatedFeed>;
    readonly logger: Logger;
    readonly signal: AbortSignal;
}

const HEARTBEAT_PART = "gateway";
const FEED_MESSAGE_TYPE = "feed";
const WARM_MESSAGE_TYPE = "warm";
const MIN_REPORT_INTERVAL_MS = 150;
/** The interval grows with the number of peers, which bounds the cost of reports in a large fleet. */
const REPORT_INTERVAL_PER_PEER_MS = 10;
/** Keeps a message well below the maximum size of a frame on a link. */
const MAX_PAIRS_PER_MESSAGE = 1_500;
const FEED_REQUEST_TIMEOUT_MS = 1_000;
/** Store and peers usually report a change at the same time; a feed is requested from a peer if the store is late. */
const STORE_GRACE_PERIOD_MS = 250;

const warmSchema = z.object({ pairs: z.array(z.tuple([z.string(), z.string()])) });

/** Exchanges state with the other hosts: running and admitted requests, warm objects and revisions of feeds. */
export class PeerStateExchange {
    /** Payload of the heartbeats that are being sent; `undefined` between reports, as other heartbeats carry none. */
    private report: GatewayReport | undefined;
    /** Names of feeds that are being requested from a peer. */
    private readonly pendingFeeds = new Set<string>();

    constructor(private readonly opts: PeerStateExchangeOptions) {
        const { mesh, warm } = opts;
        mesh.addHeartbeatPart(HEARTBEAT_PART, {
            payload: () => this.report,
            receive: (from, payload) => this.handleReport(from, payload),
        });
        mesh.registerHandler(FEED_MESSAGE_TYPE, (_from, { feed }) => this.handleFeedRequest(feed));
        mesh.registerHandler(WARM_MESSAGE_TYPE, (_from, message) => {
            const parsed = warmSchema.safeParse(message);
            parsed.data?.pairs.forEach(([key, object]) => warm.recordRemote(key, object));
        });
        mesh.onPeersChange(() => this.opts.limits.resize());
    }

    /** Sends reports at intervals until the signal aborts. */
    async run(): Promise<void> {
        const { signal, mesh } = this.opts;
        while (!signal.aborted) {
            this.sendReport();
            const intervalMs = MIN_REPORT_INTERVAL_MS + REPORT_INTERVAL_PER_PEER_MS * mesh.peers().length;
            await sleep(intervalMs, undefined, { signal }).catch(() => undefined);
        }
    }

    /** Sends a report to all peers now. */
    sendReport(): void {
        this.report = this.buildReport();
        this.opts.mesh.sendHeartbeats();
        this.report = undefined;
    }

    /** Sends all warm objects of targets to a host that has just been linked. */
    sendWarmObjects(hostId: string): void {
        const pairs = this.opts.warm.all();
        for (let start = 0; start < pairs.length; start += MAX_PAIRS_PER_MESSAGE) {
            this.opts.mesh.send(hostId, {
                type: WARM_MESSAGE_TYPE,
                pairs: pairs.slice(start, start + MAX_PAIRS_PER_MESSAGE),
            });
        }
    }

    private buildReport(): GatewayReport {
        const { state, callers, loads, warm, limits, feeds } = this.opts;
        const complete = [...feeds].filter(([, { isComplete }]) => isComplete);
        const revisions = complete.map(([name, { revision }]) => [name, revision] as const);
        return {
            state: state(),
            callers,
            running: Object.fromEntries(loads.running),
            admitted: limits.collectReport(),
            revisions: Object.fromEntries(revisions),
            warmed: warm.takeNewPairs(),
        };
    }

    private handleReport(from: PeerIdentity, payload: unknown): void {
        const parsed = gatewayReportSchema.safeParse(payload);
        if (!parsed.success) {
            this.opts.logger.warn({ event: "peer-report-invalid", fields: { peer: from.hostId } });
            return;
        }
        const report = parsed.data;
        const { loads, warm, limits, directory, feeds } = this.opts;
        directory.recordReport(from, report);
        loads.setPeerCounts(from.hostId, new Map(Object.entries(report.running)));
        limits.recordPeerReport(from, report.admitted);
        report.warmed.forEach(([key, object]) => warm.recordRemote(key, object));
        for (const [name, revision] of Object.entries(report.revisions)) {
            const feed = feeds.get(name);
            if (feed !== undefined && isBehind(feed, revision)) {
                void this.requestFeed(from, name, feed, revision);
            }
        }
    }

    /** Requests a feed from a peer that has a newer revision, unless the store delivers that first. */
    private async requestFeed(from: PeerIdentity, name: string, feed: ReplicatedFeed, revision: number): Promise<void> {
        if (this.pendingFeeds.has(name)) {
            return;
        }
        this.pendingFeeds.add(name);
        try {
            await sleep(STORE_GRACE_PERIOD_MS, undefined, { signal: this.opts.signal });
            if (!isBehind(feed, revision)) {
                return;
            }
            const reply = await this.opts.mesh.request(
                from.hostId,
                { type: FEED_MESSAGE_TYPE, feed: name },
                FEED_REQUEST_TIMEOUT_MS,
            );
            if (reply.isErr() || !feed.merge(reply.value["page"])) {
                this.opts.logger.warn({ event: "peer-feed-missing", fields: { peer: from.hostId, feed: name } });
                return;
            }
            this.opts.logger.info({
                event: "feed-from-peer",
                fields: { peer: from.hostId, feed: name, revision: feed.revision },
            });
        }
        catch {
            // The sleep rejects only when the signal aborts, at shutdown.
        }
        finally {
            this.pendingFeeds.delete(name);
        }
    }

    private handleFeedRequest(name: unknown) {
        const feed = typeof name === "string" ? this.opts.feeds.get(name) : undefined;
        return feed === undefined ? undefined : { type: FEED_MESSAGE_TYPE, page: feed.encode() };
    }
}

/** Whether a peer's copy at this revision has entries that this host lacks. */
function isBehind(feed: ReplicatedFeed, revision: number): boolean {
    return revision > feed.revision || !feed.isComplete;
}
