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
    readonly callers: string;
    readonly loads: TargetLoads;
    readonly warm: WarmObjects;
    readonly limits: WorkspaceLimits;
    readonly directory: HostDirectory;
    readonly feeds: ReadonlyMap<string, ReplicatedFeed>;
    readonly logger: Logger;
    readonly signal: AbortSignal;
}

const PART = "gateway";
const FEED_TYPE = "feed";
const WARM_TYPE = "warm";
const MIN_INTERVAL_MS = 150;
/** Each peer adds to the interval, so that a large fleet does not spend its time on reports. */
const INTERVAL_PER_PEER_MS = 10;
/** Keeps a message well below the size that a link accepts. */
const MAX_PAIRS = 1_500;
const FEED_TIMEOUT_MS = 1_000;
/** Store and peers usually tell the same at the same time; a host asks a peer only for what the store did not bring. */
const FEED_PATIENCE_MS = 250;

const warmSchema = z.object({ pairs: z.array(z.tuple([z.string(), z.string()])) });

/** Exchanges with the other hosts what they have running, admitted and read. */
export class PeerStateExchange {
    /** What the next heartbeats say; `undefined` between reports. */
    private report: GatewayReport | undefined;
    private readonly asked = new Set<string>();

    constructor(private readonly opts: PeerStateExchangeOptions) {
        const { mesh, warm } = opts;
        mesh.addHeartbeatPart(PART, {
            payload: () => this.report,
            receive: (from, payload) => this.receive(from, payload),
        });
        mesh.registerHandler(FEED_TYPE, (_from, { feed }) => this.answerFeed(feed));
        mesh.registerHandler(WARM_TYPE, (_from, message) => {
            const parsed = warmSchema.safeParse(message);
            parsed.data?.pairs.forEach(([key, object]) => warm.recordRemote(key, object));
        });
        mesh.onPeersChange(() => this.opts.limits.resize());
    }

    /** Tells the other hosts of this one until the signal aborts. */
    async run(): Promise<void> {
        const { signal, mesh } = this.opts;
        while (!signal.aborted) {
            this.tell();
            const intervalMs = MIN_INTERVAL_MS + INTERVAL_PER_PEER_MS * mesh.peers().length;
            await sleep(intervalMs, undefined, { signal }).catch(() => undefined);
        }
    }

    /** Tells the other hosts now. */
    tell(): void {
        this.report = this.makeReport();
        this.opts.mesh.sendHeartbeats();
        this.report = undefined;
    }

    /** Tells a host that has just been linked which targets are warm for what. */
    greet(hostId: string): void {
        const pairs = this.opts.warm.all();
        for (let start = 0; start < pairs.length; start += MAX_PAIRS) {
            this.opts.mesh.send(hostId, { type: WARM_TYPE, pairs: pairs.slice(start, start + MAX_PAIRS) });
        }
    }

    private makeReport(): GatewayReport {
        const { state, callers, loads, warm, limits, feeds } = this.opts;
        const complete = [...feeds].filter(([, { isComplete }]) => isComplete);
        const revisions = complete.map(([name, { revision }]) => [name, revision] as const);
        return {
            state: state(),
            callers,
            running: Object.fromEntries(loads.running),
            admitted: limits.takeReport(),
            revisions: Object.fromEntries(revisions),
            warmed: warm.takeNewPairs(),
        };
    }

    private receive(from: PeerIdentity, payload: unknown): void {
        const parsed = gatewayReportSchema.safeParse(payload);
        if (!parsed.success) {
            this.opts.logger.warn({ event: "peer-report-invalid", fields: { peer: from.hostId } });
            return;
        }
        const report = parsed.data;
        const { loads, warm, limits, directory, feeds } = this.opts;
        directory.noteReport(from, report);
        loads.setPeerCounts(from.hostId, new Map(Object.entries(report.running)));
        limits.notePeer(from, report.admitted);
        report.warmed.forEach(([key, object]) => warm.recordRemote(key, object));
        for (const [name, revision] of Object.entries(report.revisions)) {
            const feed = feeds.get(name);
            if (feed !== undefined && isBehind(feed, revision)) {
                void this.askFeed(from, name, feed, revision);
            }
        }
    }

    /** Asks a peer that knows newer objects, unless the store brings them first. */
    private async askFeed(from: PeerIdentity, name: string, feed: ReplicatedFeed, revision: number): Promise<void> {
        if (this.asked.has(name)) {
            return;
        }
        this.asked.add(name);
        try {
            await sleep(FEED_PATIENCE_MS, undefined, { signal: this.opts.signal });
            if (!isBehind(feed, revision)) {
                return;
            }
            const answer = await this.opts.mesh.request(from.hostId, { type: FEED_TYPE, feed: name }, FEED_TIMEOUT_MS);
            if (answer.isErr() || !feed.merge(answer.value["page"])) {
                this.opts.logger.warn({ event: "peer-feed-missing", fields: { peer: from.hostId, feed: name } });
                return;
            }
            this.opts.logger.info({
                event: "feed-from-peer",
                fields: { peer: from.hostId, feed: name, revision: feed.revision },
            });
        }
        catch {
            // The wait ends early only when the process stops.
        }
        finally {
            this.asked.delete(name);
        }
    }

    private answerFeed(name: unknown) {
        const feed = typeof name === "string" ? this.opts.feeds.get(name) : undefined;
        return feed === undefined ? undefined : { type: FEED_TYPE, page: feed.encode() };
    }
}

function isBehind(feed: ReplicatedFeed, revision: number): boolean {
    return revision > feed.revision || !feed.isComplete;
}
