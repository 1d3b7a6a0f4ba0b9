import type { Settings } from "@pistachioreel/config";
import { ClaimSweeper, Delivery, type DeliveryObserver, OPEN_WORKSPACE, TargetPools } from "@pistachioreel/delivery";
import { Logger } from "@pistachioreel/logging";
import { Membership, rankHosts, type RosterMember } from "@pistachioreel/membership";
import { newIncarnation, WebSocketMesh } from "@pistachioreel/peering";
import { HttpObjectStore, type ListedHost } from "@pistachioreel/platform-store";
import { listen, monotonicNow } from "@pistachioreel/runtime";
import { Timeline } from "@pistachioreel/timeline";
import type { Server } from "node:http";
import { createAdminListener } from "./adminListener.js";
import { BlockMapLoader } from "./blockMapLoader.js";
import { CallerListener } from "./callerListener.js";
import { DocumentWatch } from "./documentWatch.js";
import { EntryMetrics } from "./entryMetrics.js";
import { FleetState } from "./fleetState.js";
import { HostFitness } from "./hostFitness.js";
import { HostSteering } from "./hostSteering.js";
import { LookupResolver } from "./lookupResolver.js";
import { pollHostList } from "./pollHostList.js";
import { Readiness } from "./readiness.js";
import { registerReportExchange } from "./registerReportExchange.js";
import { RosterWriter } from "./rosterWriter.js";
import { WorkspaceAdmission } from "./workspaceAdmission.js";

/** Hosts of each availability zone that watch the store on behalf of the others. */
const WATCHERS_PER_ZONE = 2;
const CLOSE_TIMEOUT_MS = 500;
/** Callers cache a lookup for 10 s and may send new requests to this host for that long. */
const MAX_LINGER_MS = 11_000;
/** Share of the drain timeout during which new requests are still accepted; the rest is left for running ones. */
const LINGER_SHARE = 0.5;

/** One entry host, which accepts requests from callers and delivers them to targets. */
export class EntryHost {
    private readonly state = new FleetState();
    private readonly metrics = new EntryMetrics();
    private readonly pools = new TargetPools({ hostCount: () => this.state.hosts.length });
    private readonly delivery: Delivery;
    private readonly claimSweeper: ClaimSweeper;
    private readonly stopController = new AbortController();
    private readonly logger: Logger;
    private readonly store: HttpObjectStore;
    private readonly callerListener: CallerListener;
    private readonly adminListener: Server;
    private readonly mesh: WebSocketMesh;
    private readonly membership: Membership;
    private readonly readiness: Readiness;
    private readonly self: RosterMember;
    private readonly admission: WorkspaceAdmission;
    private readonly steering: HostSteering;
    private isLeaving = false;

    constructor(private readonly settings: Settings) {
        const { hostId, availabilityZone, region } = settings;
        const incarnation = newIncarnation();
        const timeline = new Timeline(hostId, incarnation);
        this.logger = new Logger(hostId, { level: settings.logLevel });
        this.store = new HttpObjectStore(settings.store.url, {
            localAddress: settings.peers.address,
            token: settings.store.token,
        });
        this.mesh = new WebSocketMesh({
            identity: { hostId, incarnation, availabilityZone, region },
            ...settings.peers,
            now: monotonicNow,
            onEvent: (event, fields) => {
                timeline.record(event, { fields });
                this.logger.info({ event, fields });
            },
        });
        this.self = { id: hostId, incarnation, availabilityZone };
        const versions = () => this.state.versions;
        this.membership = new Membership({ self: this.self, versions, now: monotonicNow });
        this.readiness = new Readiness({
            state: this.state,
            membership: this.membership,
            mesh: this.mesh,
            now: monotonicNow,
        });
        const { state, metrics, mesh, membership } = this;
        this.steering = new HostSteering({
            self: { hostId, incarnation, availabilityZone, region },
            state,
            mesh,
            localAddress: settings.peers.address,
            now: monotonicNow,
        });
        const shared = { hostId, availabilityZone, region, incarnation, state, metrics, timeline, membership };
        const observe: DeliveryObserver = (event, observed) => {
            metrics.delivery.inc({ event });
            timeline.record(event, observed);
        };
        this.claimSweeper = new ClaimSweeper({
            store: this.store,
            workspaces: () => [OPEN_WORKSPACE, ...Object.keys(state.configuration?.rules.workspaces ?? {})],
            share: () => ({ index: state.hosts.findIndex(({ id }) => id === hostId), count: state.hosts.length }),
            observe,
        });
        this.delivery = new Delivery({
            hostId,
            pools: this.pools,
            store: this.store,
            mesh: this.mesh,
            hostCount: () => state.hosts.length,
            observe,
            queue: this.steering.queue,
            targetsOf: service => state.configuration?.targetsOf(service) ?? [],
            now: monotonicNow,
        });
        this.admission = new WorkspaceAdmission({
            identity: { hostId, incarnation, availabilityZone, region },
            state,
            view: membership,
            mesh: this.mesh,
            metrics,
            now: monotonicNow,
        });
        const fitness = new HostFitness({
            hostId,
            mesh: this.mesh,
            now: monotonicNow,
            isLeaving: () => this.isLeaving,
        });
        this.callerListener = new CallerListener({
            ...shared,
            lookup: new LookupResolver({ ...shared, unfitHosts: () => fitness.unfitHosts() }),
            admission: this.admission,
            delivery: this.delivery,
            now: monotonicNow,
        });
        this.adminListener = createAdminListener({
            ...shared,
            store: this.store,
            mesh: this.mesh,
            steering: this.steering,
            notReadyReason: () => this.notReadyReason,
        });
        registerReportExchange({ mesh, state, membership });
        state.onChange(name => {
            const fields = { document: name, version: state.versionOf(name) };
            timeline.record("document-in-force", { fields });
            this.logger.info({ event: "document-in-force", fields });
            if (name === "config") {
                this.prunePools();
            }
            if (name === "roster" && state.roster !== undefined) {
                membership.applyRoster(state.roster, state.versionOf("roster"));
            }
        });
    }

    /** Why the host is not ready; `undefined` if it is. */
    get notReadyReason(): string | undefined {
        return this.isLeaving ? "the host is leaving" : this.readiness.notReadyReason;
    }

    /** Opens the listeners and starts the background loops. Rejects if a listener cannot bind its address. */
    async start(): Promise<void> {
        const { callers, admin, hostId } = this.settings;
        await this.mesh.start();
        await listen(this.adminListener, admin);
        await listen(this.callerListener.server, callers);
        const { store, state, logger, membership, mesh, self } = this;
        const { signal } = this.stopController;
        this.admission.start(signal);
        const shared = { store, state, membership, now: monotonicNow, signal };
        void new DocumentWatch({ ...shared, logger, isWatcher: () => this.isWatcher() }).run();
        void new RosterWriter({ ...shared, self, mesh, logger }).run();
        void new BlockMapLoader({ store, state, logger, signal }).run();
        void this.steering.run(signal);
        void pollHostList(store, hosts => this.applyHostList(hosts), signal);
        void this.claimSweeper.run(signal);
        this.logger.info({
            event: "host-started",
            fields: { host: hostId, callers: `${callers.address}:${callers.port}` },
        });
    }

    /** Waits for running requests up to the drain timeout, then closes everything. Returns whether all had ended. */
    async stop(): Promise<boolean> {
        this.isLeaving = true;
        this.membership.leave();
        this.logger.info({ event: "host-leaving" });
        this.mesh.sendHeartbeats();
        const { drainTimeoutMs } = this.settings;
        const drained = await withTimeout(this.drain(), drainTimeoutMs);
        this.stopController.abort();
        this.callerListener.server.closeAllConnections();
        this.mesh.stop();
        this.adminListener.close();
        this.adminListener.closeAllConnections();
        await withTimeout(this.pools.close(), CLOSE_TIMEOUT_MS);
        await this.store.close();
        this.logger.info({ event: "host-stopped", fields: { drained } });
        return drained;
    }

    /** Whether this host is one of those of its zone that rank first and watch the store on behalf of the others. */
    private isWatcher(): boolean {
        const { id, availabilityZone } = this.self;
        const others = this.mesh.peers().filter(peer => peer.availabilityZone === availabilityZone);
        const ranked = rankHosts(availabilityZone, [id, ...others.map(peer => peer.hostId)]);
        return ranked.indexOf(id) < WATCHERS_PER_ZONE;
    }

    /** Resolves when the caller listener has closed and no delivery is in progress. */
    private async drain(): Promise<void> {
        const lingerMs = Math.min(MAX_LINGER_MS, this.settings.drainTimeoutMs * LINGER_SHARE);
        await this.callerListener.drain(lingerMs);
        await this.delivery.idle();
    }

    private applyHostList(hosts: readonly ListedHost[]): void {
        this.state.hosts = hosts;
        this.mesh.setPeers(hosts.map(({ id, peers }) => ({ hostId: id, address: peers })));
    }

    /** Closes the connection pools of targets that are no longer in the configuration. */
    private prunePools(): void {
        const ids = new Set(this.state.configuration?.targets.map(target => target.id));
        this.pools.retain(ids).catch((error: Error) => {
            this.logger.warn({ event: "pool-close-failed", fields: { message: error.message } });
        });
    }
}

/** Waits for the work at most for the timeout; returns whether it ended in time. */
async function withTimeout(work: Promise<void>, timeoutMs: number): Promise<boolean> {
    let timer: NodeJS.Timeout | undefined;
    const timeout = new Promise<false>(resolve => {
        timer = setTimeout(() => resolve(false), timeoutMs);
    });
    const ended = await Promise.race([work.then(() => true), timeout]);
    clearTimeout(timer);
    return ended;
}
