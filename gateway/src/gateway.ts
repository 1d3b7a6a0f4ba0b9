import { CrashSuspects, RetryBudget } from "@pistachioreel/delivery";
import type { DesiredState } from "@pistachioreel/desired-state";
import type { Logger } from "@pistachioreel/logging";
import { newIncarnation, WebSocketMesh } from "@pistachioreel/peering";
import {
    ColdTargetLimiter,
    Placement,
    ProcessingTimes,
    TargetHealth,
    TargetLoads,
    TargetRegistry,
    WarmObjects,
} from "@pistachioreel/placement";
import { listen, monotonicNow, parseEndpoint } from "@pistachioreel/runtime";
import { setTimeout as sleep } from "node:timers/promises";
import type { AnnouncedHost } from "./announcedHost.js";
import { AuxiliaryServers } from "./auxiliaryServers.js";
import { GatewayMetrics } from "./gatewayMetrics.js";
import type { GatewayReport } from "./gatewayReport.js";
import { HostDirectory } from "./hostDirectory.js";
import { PeerStateExchange } from "./peerStateExchange.js";
import type { PlatformAccess } from "./platformAccess.js";
import { PlatformState } from "./platformState.js";
import { RequestListener } from "./requestListener.js";
import { RequestRelay } from "./requestRelay.js";
import type { GatewaySettings } from "./settings.js";
import { TargetConnectionPools } from "./targetConnectionPools.js";
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

interface GatewayOptions {
    readonly settings: GatewaySettings;
    readonly platform: PlatformAccess;
    readonly logger: Logger;
}

/** One gateway host on the platform: it takes requests of callers and sends them to registered targets. */
export class Gateway {
    private readonly metrics = new GatewayMetrics();
    private readonly stopping = new AbortController();
    private readonly registry = new TargetRegistry({ now: monotonicNow });
    private readonly loads = new TargetLoads({ now: monotonicNow });
    private readonly warm = new WarmObjects();
    private readonly health = new TargetHealth({ now: monotonicNow });
    private readonly mesh: WebSocketMesh;
    private readonly known: PlatformState;
    private readonly limits: WorkspaceLimits;
    private readonly links: TargetConnectionPools;
    private readonly listener: RequestListener;
    private readonly exchange: PeerStateExchange;
    private readonly service: AuxiliaryServers;
    private isLeaving = false;

    constructor(private readonly opts: GatewayOptions) {
        const { settings, platform, logger } = opts;
        const { hostId, availabilityZone, region, localAddress, callers } = settings;
        const { dialect } = platform;
        const { metrics } = this;
        const { signal } = this.stopping;
        this.mesh = this.createMesh();
        const { mesh } = this;
        this.limits = new WorkspaceLimits({ hosts: () => this.hostCounts, now: monotonicNow });
        this.known = new PlatformState({
            feeds: platform,
            registry: this.registry,
            hostId,
            drainBoundMs: settings.drainBound,
            onDesiredState: state => this.takeDesiredState(state),
            onTargets: () => this.forgetGoneTargets(),
            onHosts: hosts => this.takeHosts(hosts),
            logger,
            now: monotonicNow,
            signal,
        });
        this.links = new TargetConnectionPools({
            localAddress,
            dialect,
            now: monotonicNow,
            onOpened: () => metrics.connections.inc(),
        });
        this.listener = new RequestListener({
            dialect,
            desiredState: () => this.known.stateInForce,
            limits: this.limits,
            relay: this.createRelay(),
            metrics,
            logger,
            maxHeldBytes: settings.memoryMb * BYTES_PER_MB * BODY_MEMORY_SHARE,
            now: monotonicNow,
        });
        const directory = new HostDirectory({
            availabilityZone,
            region,
            callers,
            isReady: () => this.state === "ready",
            linkedPeers: () => mesh.peers(),
        });
        this.exchange = new PeerStateExchange({
            mesh,
            state: () => this.state,
            callers,
            loads: this.loads,
            warm: this.warm,
            limits: this.limits,
            directory,
            feeds: this.known.shared,
            logger,
            signal,
        });
        this.service = new AuxiliaryServers({
            dialect,
            metrics,
            isReady: () => this.state === "ready",
            directory,
            lookupLifetimeMs: Math.min(LOOKUP_LIFETIME_MS, settings.maxLookupLifetime),
        });
        this.collectMetrics();
    }

    /** Opens the listeners and begins to follow the store. Rejects if an address is in use. */
    async start(): Promise<void> {
        const { hostId, callers, readiness, directory, metrics, seeds } = this.opts.settings;
        const { service, listener } = this;
        await this.mesh.start();
        await listen(service.readiness, parseEndpoint(readiness));
        await listen(service.directory, parseEndpoint(directory));
        await listen(service.metrics, parseEndpoint(metrics));
        await listen(listener.server, parseEndpoint(callers));
        this.known.run();
        void this.mesh.connectToSeeds(seeds);
        void this.exchange.run();
        void this.announce();
        this.opts.logger.info({ event: "host-started", fields: { host: hostId, callers } });
    }

    /** Lets callers leave, waits for running requests within the stop timeout and ends. Tells whether all had ended. */
    async stop(): Promise<boolean> {
        const startedAt = monotonicNow();
        const { settings: { stopTimeout }, logger } = this.opts;
        this.isLeaving = true;
        this.listener.leave();
        this.exchange.tell();
        logger.info({ event: "host-leaving", fields: { running: this.listener.running } });
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
        this.listener.server.closeAllConnections();
        this.service.close();
        logger.info({ event: "host-stopped", fields: { drained } });
        return drained;
    }

    /** Takes note of a change of the settings, which takes effect at the next start. */
    reload(): void {
        this.opts.logger.info({ event: "settings-reloaded", fields: { inForce: "at the next start" } });
    }

    private async linger(until: number, earliest: number): Promise<void> {
        while (monotonicNow() < until && (this.listener.connections > 0 || monotonicNow() < earliest)) {
            await sleep(STOP_POLL_MS);
        }
    }

    private get state(): GatewayReport["state"] {
        return this.isLeaving ? "leaving" : this.known.stateInForce === undefined ? "starting" : "ready";
    }

    private get hostCounts(): { inTouch: number; total: number; } {
        const inTouch = this.mesh.peers().length + 1;
        return { inTouch, total: Math.max(this.known.hostIds.length, inTouch) };
    }

    private createMesh(): WebSocketMesh {
        const { settings, logger } = this.opts;
        const { hostId, availabilityZone, region, peers, peerSecrets } = settings;
        return new WebSocketMesh({
            identity: { hostId, incarnation: newIncarnation(), availabilityZone, region },
            ...parseEndpoint(peers),
            secrets: peerSecrets,
            now: monotonicNow,
            onEvent: (event, fields) => {
                logger.info({ event, fields });
                if (event === "peer-linked" && fields["peer"] !== undefined) {
                    this.exchange.greet(fields["peer"]);
                }
            },
        });
    }

    private createRelay(): RequestRelay {
        const { settings: { hostId, availabilityZone, region }, platform: { dialect }, logger } = this.opts;
        const { registry, loads, warm, health, links, mesh } = this;
        const cold = new ColdTargetLimiter({
            hostId,
            hostIds: () => this.known.hostIds,
            limitOf: service => this.coldLimitOf(service),
            now: monotonicNow,
        });
        const placing = { registry, loads, warm, health, times: new ProcessingTimes(), cold, now: monotonicNow };
        return new RequestRelay({
            ...placing,
            dialect,
            links,
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
        });
    }

    private takeDesiredState(state: DesiredState): void {
        this.listener.takeDesiredState(state);
        this.limits.takeDesiredState(state);
    }

    private forgetGoneTargets(): void {
        const { all } = this.registry;
        [this.links, this.health, this.warm, this.loads].forEach(part => part.retain(all));
    }

    private takeHosts(hosts: readonly AnnouncedHost[]): void {
        this.mesh.setPeers(hosts.map(({ hostId, peers }) => ({ hostId, address: peers })));
        this.limits.resize();
    }

    /** Writes this host into the store until that has worked once. */
    private async announce(): Promise<void> {
        const { settings, platform, logger } = this.opts;
        const { hostId, peers, callers, availabilityZone, region } = settings;
        const { signal } = this.stopping;
        while (!signal.aborted) {
            const announced = await platform.announce({ hostId, peers, callers, availabilityZone, region });
            if (announced.isOk()) {
                return;
            }
            logger.warn({ event: "announce-failed", fields: { reason: announced.error.message } });
            await sleep(ANNOUNCE_RETRY_MS * (1 + Math.random()), undefined, { signal }).catch(() => undefined);
        }
    }

    private coldLimitOf(service: string): number {
        const { coldFactor, coldSlack } = this.opts.settings;
        const perSecond = this.known.stateInForce?.findService(service)?.coldPerSecond ?? 0;
        return perSecond * coldFactor + coldSlack;
    }

    /** The part of the budget of all hosts that is this host's. */
    private newRetryBudget(): RetryBudget {
        const { retryShare, retrySlack, retryWindow } = this.opts.settings;
        const slackPerSecond = retrySlack * RETRY_SHARE_USED / (retryWindow / MS_PER_SECOND);
        const { known } = this;
        return new RetryBudget({
            now: monotonicNow,
            share: retryShare * RETRY_SHARE_USED,
            get minPerSecond() {
                return slackPerSecond / known.hostIds.length;
            },
        });
    }

    private collectMetrics(): void {
        const { metrics } = this;
        metrics.collect("running_requests", "Requests that are running", () => this.listener.running);
        metrics.collect("targets", "Targets that are known", () => this.registry.size);
        metrics.collect("linked_hosts", "Other hosts with a working link", () => this.mesh.peers().length);
        const { platform } = this.opts;
        metrics.collect("store_calls", "Calls to the store since the start", () => platform.storeCalls);
        metrics.collect(
            "rejected_objects",
            "Objects of the store that could not be used",
            () => platform.rejectedObjects,
        );
        metrics.collect("desired_state_version", "Version in force", () => this.known.stateInForce?.version ?? 0);
    }
}
