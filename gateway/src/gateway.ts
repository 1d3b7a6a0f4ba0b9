import type { DesiredState } from "@pistachioreel/desired-state";
import type { FleetReport } from "@pistachioreel/fleet";
import { ResponseMemory } from "@pistachioreel/forwarding";
import { ReplicatedLimits } from "@pistachioreel/limits";
import type { Logger } from "@pistachioreel/logging";
import { newIncarnation, type PeerIdentity, WebSocketMesh } from "@pistachioreel/peering";
import { listen, monotonicNow, parseEndpoint, type SharedMemory } from "@pistachioreel/runtime";
import { randomUUID } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { AnnouncedHost } from "./announcedHost.js";
import { AuxiliaryServers } from "./auxiliaryServers.js";
import { createCrashSuspects } from "./createCrashSuspects.js";
import { createMemoryShare } from "./createMemoryShare.js";
import { createRequestPlacement } from "./createRequestPlacement.js";
import { createRetryBudget } from "./createRetryBudget.js";
import { createTargetReach } from "./createTargetReach.js";
import { Detour } from "./detour.js";
import { DetourListener } from "./detourListener.js";
import { EventLoopStalls } from "./eventLoopStalls.js";
import { FeedReplication } from "./feedReplication.js";
import { FleetExchange } from "./fleetExchange.js";
import { FleetLinks } from "./fleetLinks.js";
import { GatewayMetrics } from "./gatewayMetrics.js";
import { HostDirectory } from "./hostDirectory.js";
import { HostRegistration } from "./hostRegistration.js";
import { ListenerDrain } from "./listenerDrain.js";
import { ListenerLimits } from "./listenerLimits.js";
import type { PlatformAccess } from "./platformAccess.js";
import { PlatformState } from "./platformState.js";
import { registerGauges } from "./registerGauges.js";
import { RequestExplainer } from "./requestExplainer.js";
import { RequestListener } from "./requestListener.js";
import type { RequestPlacement } from "./requestPlacement.js";
import { RequestRelay } from "./requestRelay.js";
import type { GatewaySettings } from "./settings.js";
import { StatementExchange } from "./statementExchange.js";
import { StatementLog } from "./statementLog.js";
import { StoreGate } from "./storeGate.js";
import { TargetConnectionPools } from "./targetConnectionPools.js";
import type { TargetReach } from "./targetReach.js";
import { TargetState } from "./targetState.js";
import { WarmObjectExchange } from "./warmObjectExchange.js";
import { WorkspaceLimits } from "./workspaceLimits.js";

const BYTES_PER_MB = 1024 * 1024;
/** Callers may cache a response of the directory for this time, or for less if the settings say so. */
const MAX_LOOKUP_LIFETIME_MS = 2_000;
/** At the first start of the fleet, its hosts have registered within this time. */
const REGISTRATION_MS = 2_000;
/** At the first start of the fleet, seeds are used after this time, if the store has not listed the other hosts. */
const FIRST_START_SEED_DELAY_MS = 4_000;

interface GatewayOptions {
    readonly settings: GatewaySettings;
    readonly platform: PlatformAccess;
    readonly logger: Logger;
}

/** One gateway host of the fleet: accepts requests of callers and relays them to registered targets. */
export class Gateway {
    private readonly metrics = new GatewayMetrics();
    private readonly stopController = new AbortController();
    private readonly mesh: WebSocketMesh;
    private readonly platformState: PlatformState;
    private readonly limits: ReplicatedLimits;
    private readonly workspaceLimits: WorkspaceLimits;
    private readonly targets: TargetState;
    private readonly bodyMemory: SharedMemory;
    private readonly responseMemory: ResponseMemory;
    private readonly connectionPools: TargetConnectionPools;
    private readonly reach: TargetReach;
    private readonly placement: RequestPlacement;
    private readonly listener: RequestListener;
    private readonly detourListener: DetourListener;
    /** Proves to this host that a request comes from a host of the fleet, which all get it in reports. */
    private readonly detourToken = randomUUID();
    private readonly gate = new StoreGate();
    private readonly identity: PeerIdentity;
    private readonly links: FleetLinks;
    private readonly replication: FeedReplication;
    private readonly exchange: FleetExchange;
    private readonly auxiliaryServers: AuxiliaryServers;
    private readonly stalls = new EventLoopStalls({ now: monotonicNow });
    private isLeaving = false;
    /** Monotonic time in ms at which requests are cut off; infinite unless this host is shutting down. */
    private endsAt = Infinity;

    constructor(private readonly opts: GatewayOptions) {
        const { settings, platform, logger } = opts;
        const { hostId, availabilityZone, region, localAddress, callers } = settings;
        const { dialect } = platform;
        const { metrics } = this;
        const { signal } = this.stopController;
        this.identity = { hostId, incarnation: newIncarnation(), availabilityZone, region };
        this.limits = new ReplicatedLimits({ hosts: () => this.hostCounts, now: monotonicNow });
        this.workspaceLimits = new WorkspaceLimits(this.limits);
        this.targets = new TargetState({
            limits: this.limits,
            hostCount: () => this.hostCounts.total,
            observer: new StatementLog({ logger, metrics }),
            now: monotonicNow,
        });
        this.mesh = this.createMesh();
        this.links = this.createLinks();
        const { mesh, links } = this;
        this.platformState = new PlatformState({
            feeds: platform,
            registry: this.targets.registry,
            hostId,
            drainBoundMs: settings.drainBound,
            gate: this.gate,
            followerCount: () => links.followerCount,
            followerIndex: () => links.followerIndex,
            reportedStoreRegainedAt: () => links.reportedStoreRegainedAt,
            hasHeardPeers: () => this.replication.hasHeardPeers,
            onChange: () => void this.exchange.announceChanges(),
            onStoreChecked: () => this.exchange.sendReports(),
            onDesiredState: state => this.applyDesiredState(state),
            onTargets: () => this.pruneTargets(),
            onHosts: hosts => this.applyHosts(hosts),
            logger,
            now: monotonicNow,
            signal,
        });
        const memoryBytes = settings.memoryMb * BYTES_PER_MB;
        this.bodyMemory = createMemoryShare({ kind: "requests", memoryBytes, logger });
        this.responseMemory = new ResponseMemory(createMemoryShare({ kind: "responses", memoryBytes, logger }));
        this.connectionPools = new TargetConnectionPools({
            localAddress,
            dialect,
            memory: this.responseMemory,
            now: monotonicNow,
            onOpened: () => metrics.connections.inc(),
        });
        this.reach = createTargetReach({
            targets: this.targets,
            connectionPools: this.connectionPools,
            dialect,
            mesh,
            availabilityZone,
            onChange: () => this.exchange.sendReports(),
            logger,
            now: monotonicNow,
            signal,
        });
        this.placement = createRequestPlacement({
            settings,
            targets: this.targets,
            dialect,
            connectionPools: this.connectionPools,
            reach: this.reach,
            hostIds: () => this.platformState.hostIds,
            desiredState: () => this.platformState.stateInForce,
            logger,
            now: monotonicNow,
        });
        const listenerLimits = new ListenerLimits({ memoryBytes, settings, logger });
        this.listener = new RequestListener({
            dialect,
            desiredState: () => this.platformState.stateInForce,
            limits: this.workspaceLimits,
            relay: this.createRelay(),
            endsAt: () => this.endsAt,
            metrics,
            logger,
            bodyMemory: this.bodyMemory,
            listenerLimits,
            now: monotonicNow,
        });
        this.detourListener = new DetourListener({ token: this.detourToken, listener: this.listener });
        const directory = new HostDirectory({
            availabilityZone,
            region,
            callers,
            isReady: () => this.state === "ready",
            otherHosts: () => links.view.readyHosts,
        });
        this.replication = new FeedReplication({
            mesh,
            usesRelay: id => links.usesSource(id),
            isFirstStart: settings.isFirstStart,
            feeds: this.platformState.replicatedFeeds,
            logger,
            now: monotonicNow,
            signal,
        });
        this.exchange = new FleetExchange({
            mesh,
            state: () => this.state,
            callers,
            availabilityZone,
            detour: () => ({ token: this.detourToken, isCutOff: this.reach.isCutOff }),
            view: links.view,
            loads: this.targets.loads,
            warmObjects: new WarmObjectExchange({
                mesh,
                warm: this.targets.warm,
                availabilityZone,
                isRelay: () => links.isRelay,
            }),
            statements: new StatementExchange({
                mesh,
                statements: this.targets.statements,
                availabilityZone,
                isRelay: () => links.isRelay,
                now: monotonicNow,
            }),
            limits: this.limits,
            replication: this.replication,
            storeRegainedAt: () => this.platformState.storeRegainedAt,
            followsStore: () => this.gate.isOpen,
            storeCheck: this.platformState.storeCheck,
            logger,
            now: monotonicNow,
            signal,
        });
        const { targets, placement, listener, platformState, reach, bodyMemory, workspaceLimits: limits } = this;
        this.auxiliaryServers = new AuxiliaryServers({
            dialect,
            metrics,
            isReady: () => this.state === "ready",
            directory,
            lookupLifetimeMs: Math.min(MAX_LOOKUP_LIFETIME_MS, settings.maxLookupLifetime),
            explainer: new RequestExplainer({ hostId, platformState, limits, placement, reach, now: monotonicNow }),
            listenerLimits,
        });
        const view = links.view;
        registerGauges(metrics, {
            targets,
            placement,
            listener,
            mesh,
            view,
            platform,
            platformState,
            reach,
            bodyMemory,
        });
    }

    /** Opens the listeners, connects to other hosts and starts following the store. Rejects if an address is in use. */
    async start(): Promise<void> {
        const { hostId, callers, readiness, directory, metrics, seeds, isFirstStart } = this.opts.settings;
        const { auxiliaryServers, listener } = this;
        await this.mesh.start();
        await listen(auxiliaryServers.readiness, parseEndpoint(readiness));
        await listen(auxiliaryServers.directory, parseEndpoint(directory));
        await listen(auxiliaryServers.metrics, parseEndpoint(metrics));
        await listen(listener.server, parseEndpoint(callers));
        void this.platformState.run(isFirstStart ? REGISTRATION_MS : 0);
        void this.links.run();
        void this.mesh.connectToSeeds(seeds, isFirstStart ? { startDelayMs: FIRST_START_SEED_DELAY_MS } : {});
        void this.exchange.run();
        void this.reach.run();
        const { peers, availabilityZone, region, processors, processorShare } = this.opts.settings;
        const cores = processors * processorShare;
        void new HostRegistration({
            host: { hostId, peers, callers, availabilityZone, region, cores },
            platform: this.opts.platform,
            platformState: this.platformState,
            isFirstStart,
            logger: this.opts.logger,
            signal: this.stopController.signal,
        }).run();
        this.opts.logger.info({ event: "host-started", fields: { host: hostId, callers } });
    }

    /**
     * Shuts down gracefully within the stop timeout: serves callers until they have disconnected, then waits for
     * running requests. Returns whether all of them had ended.
     */
    async stop(): Promise<boolean> {
        const { settings: { stopTimeout: stopTimeoutMs }, logger } = this.opts;
        const signalledAt = this.stalls.earliestArrivalAt;
        const drain = new ListenerDrain({ listener: this.listener, stopTimeoutMs, signalledAt, now: monotonicNow });
        this.isLeaving = true;
        this.endsAt = drain.endsAt;
        this.listener.startLeaving();
        this.exchange.sendReports();
        logger.info({ event: "host-leaving", fields: { running: this.listener.running } });
        const drained = await drain.run();
        this.placement.close();
        this.stopController.abort();
        this.mesh.stop();
        this.connectionPools.retain([]);
        this.listener.cutOff();
        this.auxiliaryServers.close();
        logger.info({ event: "host-stopped", fields: { drained } });
        return drained;
    }

    /** Called on SIGHUP. Reads nothing: logs that changed settings take effect only at the next start. */
    reload(): void {
        this.opts.logger.info({ event: "settings-reloaded", fields: { inForce: "at the next start" } });
    }

    private get state(): FleetReport["state"] {
        return this.isLeaving ? "leaving" : this.platformState.stateInForce === undefined ? "starting" : "ready";
    }

    private get hostCounts(): { linked: number; total: number; } {
        const linked = this.links.view.hostCount;
        return { linked, total: Math.max(this.platformState.hostIds.length, linked) };
    }

    private createMesh(): WebSocketMesh {
        const { settings, logger } = this.opts;
        const { peers, peerSecrets } = settings;
        return new WebSocketMesh({
            identity: this.identity,
            ...parseEndpoint(peers),
            secrets: peerSecrets,
            now: monotonicNow,
            closesUnlistedLinks: true,
            onRequest: (request, response) => this.handlePeerRequest(request, response),
            onEvent: (event, fields) => {
                logger.info({ event, fields });
                this.handleLinkEvent(event, fields["peer"] ?? "");
            },
        });
    }

    private handlePeerRequest(request: IncomingMessage, response: ServerResponse): void {
        this.detourListener.handle(request, response).catch((cause: Error) => {
            this.opts.logger.error({ event: "request-crashed", fields: { reason: cause.message } });
            response.destroy();
        });
    }

    private handleLinkEvent(event: string, hostId: string): void {
        if (event === "peer-linked") {
            this.exchange.handleLinked(hostId);
        }
        else if (event === "peer-lost") {
            this.exchange.handleLost(hostId);
        }
    }

    private createLinks(): FleetLinks {
        const { hostId, availabilityZone, region, isFirstStart } = this.opts.settings;
        const { mesh, gate, targets: { loads } } = this;
        return new FleetLinks({
            hostId,
            availabilityZone,
            region,
            mesh,
            gate,
            isFirstStart,
            observer: {
                onRunning: (source, running) =>
                    loads.setPeerCounts(source, running && new Map(Object.entries(running))),
                onUsage: increases => this.limits.recordOthersUsage(increases),
            },
            knowsHosts: () => this.platformState.knowsHosts,
            isCutOff: () => this.reach.isCutOff,
            lagMs: () => this.replication.lagMs,
            storeCheckAgeMs: () => this.platformState.storeCheck.peerAgeMs,
            logger: this.opts.logger,
            now: monotonicNow,
            signal: this.stopController.signal,
        });
    }

    private createRelay(): RequestRelay {
        const { settings, platform: { dialect }, logger } = this.opts;
        const { availabilityZone, region, localAddress } = settings;
        const { connectionPools, identity, mesh, links, metrics, reach, responseMemory: memory } = this;
        const now = monotonicNow;
        const hosts = () => links.detourHosts;
        return new RequestRelay({
            ...this.targets,
            reach,
            detour: new Detour({ localAddress, availabilityZone, region, dialect, memory, hosts, now }),
            metrics,
            connectionPools,
            placement: this.placement,
            suspects: createCrashSuspects({ identity, mesh, links, logger, now }),
            retryBudget: () => createRetryBudget(settings, () => this.platformState.hostIds.length),
            endsAt: () => this.endsAt,
            logger,
            now,
        });
    }

    private applyDesiredState(state: DesiredState): void {
        this.listener.applyDesiredState(state);
        this.workspaceLimits.applyDesiredState(state);
    }

    private pruneTargets(): void {
        this.targets.prune();
        this.connectionPools.retain(this.targets.registry.all);
    }

    private applyHosts(hosts: readonly AnnouncedHost[]): void {
        this.links.setHosts(hosts);
        this.limits.resize();
    }
}
