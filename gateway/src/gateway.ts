import { CrashSuspects, RetryBudget } from "@pistachioreel/delivery";
import { DesiredState } from "@pistachioreel/desired-state";
import { Logger } from "@pistachioreel/logging";
import { newIncarnation, WebSocketMesh } from "@pistachioreel/peering";
import {
    ColdAdmission,
    Placement,
    type Target,
    TargetHealth,
    TargetLoads,
    TargetRegistry,
    WarmObjects,
    WorkTimes,
} from "@pistachioreel/placement";
import type { FeedEntry } from "@pistachioreel/platform-store";
import type { Server } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import type { AnnouncedHost } from "./announcedHost.js";
import { FeedFollower } from "./feedFollower.js";
import { FleetExchange } from "./fleetExchange.js";
import { GatewayMetrics } from "./gatewayMetrics.js";
import { HostDirectory } from "./hostDirectory.js";
import type { HostReport } from "./hostReport.js";
import { LineWriter } from "./lineWriter.js";
import { monotonicNow } from "./monotonicNow.js";
import type { PlatformAccess } from "./platformAccess.js";
import { RemovalHold } from "./removalHold.js";
import { RequestListener } from "./requestListener.js";
import { RequestRelay } from "./requestRelay.js";
import { createServiceListener } from "./serviceListener.js";
import type { GatewaySettings } from "./settings.js";
import { shareFeed } from "./shareFeed.js";
import { TargetLinks } from "./targetLinks.js";
import { WorkspaceLimits } from "./workspaceLimits.js";

const BYTES_PER_MB = 1024 * 1024;
/** Share of the memory that bodies of requests may fill. */
const BODY_MEMORY_SHARE = 0.25;
/** Callers may keep an answer of the directory for this time, in ms, if the platform allows it. */
const LOOKUP_LIFETIME_MS = 2_000;
/** Share of the stop timeout in which callers are still served. */
const LINGER_SHARE = 0.6;
/** Time before the stop timeout at which the process ends by itself, in ms. */
const STOP_MARGIN_MS = 800;
/** Callers that know of the stop have left after this time, in ms. */
const MIN_LINGER_MS = 2_600;
const STOP_POLL_MS = 20;
const ANNOUNCE_RETRY_MS = 500;
const MS_PER_SECOND = 1_000;
/** Budgets of hosts add up; the rest is a margin for hosts that restart with a full budget. */
const RETRY_SHARE_USED = 0.75;

/** One gateway host on the platform: it takes requests of callers and sends them to registered targets. */
export class Gateway {
    private readonly metrics = new GatewayMetrics();
    private readonly lines = new LineWriter();
    private readonly logger: Logger;
    private readonly stopping = new AbortController();
    private readonly registry = new TargetRegistry({ now: monotonicNow });
    private readonly loads = new TargetLoads({ now: monotonicNow });
    private readonly warm = new WarmObjects();
    private readonly health = new TargetHealth({ now: monotonicNow });
    private readonly mesh: WebSocketMesh;
    private readonly directory: HostDirectory;
    private readonly limits: WorkspaceLimits;
    private readonly listener: RequestListener;
    private readonly exchange: FleetExchange;
    private readonly service: { readonly servers: readonly Server[]; };
    private readonly followers: {
        readonly states: FeedFollower<DesiredState>;
        readonly targets: FeedFollower<Target>;
        readonly evacuations: FeedFollower<true>;
        readonly hosts: FeedFollower<AnnouncedHost>;
    };
    private readonly links: TargetLinks;
    private desiredState: DesiredState | undefined;
    private hosts = new Map<string, AnnouncedHost>();
    private isLeaving = false;

    constructor(private readonly settings: GatewaySettings, private readonly platform: PlatformAccess) {
        const { hostId, availabilityZone, region, localAddress, callers } = settings;
        const { dialect } = platform;
        const { registry, loads, warm, health, metrics } = this;
        this.logger = new Logger(hostId, { level: settings.logLevel, write: this.lines.write });
        const { logger } = this;
        const [peerAddress = "", peerPort = ""] = settings.peers.split(":");
        this.mesh = new WebSocketMesh({
            identity: { hostId, incarnation: newIncarnation(), availabilityZone, region },
            address: peerAddress,
            port: Number(peerPort),
            secrets: settings.peerSecrets,
            now: monotonicNow,
            onEvent: (event, fields) => {
                logger.info({ event, fields });
                if (event === "peer-linked" && fields["peer"] !== undefined) {
                    this.exchange.greet(fields["peer"]);
                }
            },
        });
        const { mesh } = this;
        this.limits = new WorkspaceLimits({ hosts: () => this.hostCounts, now: monotonicNow });
        this.directory = new HostDirectory({
            availabilityZone,
            region,
            callers,
            isReady: () => this.state === "ready",
            linkedPeers: () => mesh.peers(),
        });
        this.links = new TargetLinks({
            localAddress,
            dialect,
            now: monotonicNow,
            onOpened: () => metrics.connections.inc(),
        });
        const cold = new ColdAdmission({
            hostId,
            hostIds: () => this.hostIds,
            limitOf: service => this.coldLimitOf(service),
            now: monotonicNow,
        });
        const times = new WorkTimes();
        const placing = { registry, loads, warm, health, times, cold, now: monotonicNow };
        this.listener = new RequestListener({
            dialect,
            desiredState: () => this.stateInForce,
            limits: this.limits,
            relay: new RequestRelay({
                ...placing,
                dialect,
                links: this.links,
                placement: new Placement({ ...placing, availabilityZone, region }),
                suspects: new CrashSuspects({
                    hostId,
                    mesh,
                    observe: (event, { fields } = {}) => logger.info({ event, fields }),
                    now: monotonicNow,
                }),
                retryBudget: () => this.newRetryBudget(),
                isLeaving: () => this.isLeaving,
                logger,
            }),
            metrics,
            logger,
            maxHeldBytes: settings.memoryMb * BYTES_PER_MB * BODY_MEMORY_SHARE,
            now: monotonicNow,
        });
        this.followers = this.createFollowers();
        this.exchange = new FleetExchange({
            mesh,
            state: () => this.state,
            callers,
            loads,
            warm,
            limits: this.limits,
            directory: this.directory,
            feeds: new Map([
                ["states", shareFeed(this.followers.states, decodeState, state => state.content)],
                ["targets", shareFeed(this.followers.targets, value => value as Target, target => target)],
                ["evacuations", shareFeed(this.followers.evacuations, () => true as const, () => true)],
                ["hosts", shareFeed(this.followers.hosts, value => value as AnnouncedHost, host => host)],
            ]),
            logger,
            signal: this.stopping.signal,
        });
        this.service = createServiceListener({
            dialect,
            metrics,
            isReady: () => this.state === "ready",
            hostsFor: (wantedRegion, zone) => this.directory.hostsFor(wantedRegion, zone),
            lookupLifetimeMs: Math.min(LOOKUP_LIFETIME_MS, settings.maxLookupLifetime),
        });
        this.collectMetrics();
    }

    /** Opens the listeners and begins to follow the store. Rejects if an address is in use. */
    async start(): Promise<void> {
        const { settings, service, listener, followers } = this;
        const [readiness, directory, metrics] = service.servers as [Server, Server, Server];
        await this.mesh.start();
        await listen(readiness, settings.readiness);
        await listen(directory, settings.directory);
        await listen(metrics, settings.metrics);
        await listen(listener.server, settings.callers);
        Object.values(followers).forEach(follower => void follower.run());
        void this.exchange.run();
        void this.announce();
        this.logger.info({ event: "host-started", fields: { host: settings.hostId, callers: settings.callers } });
    }

    /** Lets callers leave, waits for running requests within the stop timeout and ends. Tells whether all had ended. */
    async stop(): Promise<boolean> {
        const startedAt = monotonicNow();
        const { stopTimeout } = this.settings;
        this.isLeaving = true;
        this.listener.leave();
        this.exchange.tell();
        this.logger.info({ event: "host-leaving", fields: { running: this.listener.running } });
        await this.linger(startedAt + stopTimeout * LINGER_SHARE, startedAt + MIN_LINGER_MS);
        this.listener.server.close();
        const endAt = startedAt + stopTimeout - STOP_MARGIN_MS;
        while (this.listener.running > 0 && monotonicNow() < endAt) {
            await sleep(STOP_POLL_MS);
        }
        const drained = this.listener.running === 0;
        this.stopping.abort();
        this.mesh.stop();
        this.links.retain([]);
        [this.listener.server, ...this.service.servers].forEach(server => {
            server.close();
            server.closeAllConnections();
        });
        this.logger.info({ event: "host-stopped", fields: { drained } });
        await this.lines.flush();
        return drained;
    }

    /** Takes note of a change of the settings, which takes effect at the next start. */
    reload(): void {
        this.logger.info({ event: "settings-reloaded", fields: { inForce: "at the next start" } });
    }

    private async linger(until: number, earliest: number): Promise<void> {
        while (monotonicNow() < until && (this.listener.connections > 0 || monotonicNow() < earliest)) {
            await sleep(STOP_POLL_MS);
        }
    }

    private get state(): HostReport["state"] {
        return this.isLeaving ? "leaving" : this.stateInForce === undefined ? "starting" : "ready";
    }

    /** `undefined` until targets and evacuations are known too, as the host would otherwise send where it must not. */
    private get stateInForce(): DesiredState | undefined {
        const { targets, evacuations } = this.followers;
        return targets.hasRead && evacuations.hasRead ? this.desiredState : undefined;
    }

    private get hostIds(): readonly string[] {
        return [...new Set([this.settings.hostId, ...this.hosts.keys()])];
    }

    private get hostCounts(): { inTouch: number; total: number; } {
        const inTouch = this.mesh.peers().length + 1;
        return { inTouch, total: Math.max(this.hostIds.length, inTouch) };
    }

    private createFollowers(): Gateway["followers"] {
        const { platform, logger } = this;
        const hostCount = () => this.hostIds.length;
        const shared = { hostCount, logger, now: monotonicNow, signal: this.stopping.signal };
        const hold = new RemovalHold({
            registry: this.registry,
            storeRegainedAt: () => this.storeRegainedAt,
            drainBoundMs: this.settings.drainBound,
            now: monotonicNow,
        });
        const { desiredStates, targets, evacuations, hosts } = platform;
        return {
            states: new FeedFollower({
                ...shared,
                name: "states",
                feed: desiredStates,
                onChange: changed => changed.forEach(({ value }) => value && this.takeDesiredState(value)),
            }),
            targets: new FeedFollower({
                ...shared,
                name: "targets",
                feed: targets,
                onChange: changed => this.takeTargets(changed, hold),
            }),
            evacuations: new FeedFollower({
                ...shared,
                name: "evacuations",
                feed: evacuations,
                onChange: () => this.takeEvacuations(),
            }),
            hosts: new FeedFollower({
                ...shared,
                name: "hosts",
                feed: hosts,
                onChange: changed => this.takeHosts(changed),
            }),
        };
    }

    private get storeRegainedAt(): number | undefined {
        const followers = Object.values(this.followers);
        return followers.some(follower => follower.isLost)
            ? undefined
            : Math.max(...followers.map(follower => follower.regainedAt));
    }

    private takeDesiredState(state: DesiredState): void {
        if (state.version <= (this.desiredState?.version ?? -1)) {
            return;
        }
        this.desiredState = state;
        this.listener.takeDesiredState(state);
        this.limits.takeDesiredState(state);
        this.logger.info({
            event: "desired-state-in-force",
            fields: { version: state.version, routes: state.content.routes.length },
        });
    }

    private takeTargets(changed: readonly FeedEntry<Target>[], hold: RemovalHold): void {
        hold.apply(changed);
        for (const { name, value, revision } of changed) {
            const fields = {
                target: name,
                revision,
                service: value?.service,
                zone: value?.availabilityZone,
                state: value === undefined ? "removed" : value.isDraining ? "draining" : "ready",
                coldMs: value?.coldMs,
            };
            this.logger.info({ event: "target-changed", fields });
        }
        const known = this.registry.ids().flatMap(id => this.registry.get(id) ?? []);
        this.links.retain(known);
        this.health.retain(known);
        this.warm.retain(known);
    }

    private takeEvacuations(): void {
        const entries = this.followers.evacuations.page.entries;
        const zones = new Set(entries.filter(({ value }) => value !== undefined).map(({ name }) => name));
        this.registry.setEvacuated(zones);
        this.logger.info({ event: "evacuations-changed", fields: { zones: [...zones].join(",") } });
    }

    private takeHosts(changed: readonly FeedEntry<AnnouncedHost>[]): void {
        for (const { name, value } of changed) {
            if (value === undefined) {
                this.hosts.delete(name);
            }
            else {
                this.hosts.set(name, value);
            }
        }
        this.mesh.setPeers([...this.hosts.values()].map(({ hostId, peers }) => ({ hostId, address: peers })));
        this.limits.resize();
    }

    /** Writes this host into the store until that has worked once. */
    private async announce(): Promise<void> {
        const { hostId, peers, callers, availabilityZone, region } = this.settings;
        const { signal } = this.stopping;
        while (!signal.aborted) {
            const announced = await this.platform.announce({ hostId, peers, callers, availabilityZone, region });
            if (announced.isOk()) {
                return;
            }
            this.logger.warn({ event: "announce-failed", fields: { reason: announced.error.message } });
            await sleep(ANNOUNCE_RETRY_MS * (1 + Math.random()), undefined, { signal }).catch(() => undefined);
        }
    }

    private coldLimitOf(service: string): number {
        const perSecond = this.desiredState?.findService(service)?.coldPerSecond ?? 0;
        return perSecond * this.settings.coldFactor + this.settings.coldSlack;
    }

    private newRetryBudget(): RetryBudget {
        const { retryShare, retrySlack, retryWindow } = this.settings;
        const slackPerSecond = retrySlack / (retryWindow / MS_PER_SECOND) / this.hostIds.length;
        return new RetryBudget({
            now: monotonicNow,
            share: retryShare * RETRY_SHARE_USED,
            minPerSecond: slackPerSecond * RETRY_SHARE_USED,
        });
    }

    private collectMetrics(): void {
        const { metrics } = this;
        metrics.collect("running_requests", "Requests that are running", () => this.listener.running);
        metrics.collect("targets", "Targets that are known", () => this.registry.size);
        metrics.collect("linked_hosts", "Other hosts with a working link", () => this.mesh.peers().length);
        metrics.collect("store_calls", "Calls to the store since the start", () => this.platform.storeCalls);
        metrics.collect("desired_state_version", "Version in force", () => this.desiredState?.version ?? 0);
    }
}

function decodeState(content: unknown): DesiredState | undefined {
    return DesiredState.fromContent(content).unwrapOr(undefined);
}

function listen(server: Server, address: string): Promise<void> {
    const [host = "", port = ""] = address.split(":");
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(Number(port), host, () => {
            server.off("error", reject);
            resolve();
        });
    });
}
