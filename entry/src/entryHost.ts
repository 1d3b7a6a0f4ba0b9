import type { Settings } from "@pistachioreel/config";
import { ClaimSweep, Delivery, type DeliveryObserver, OPEN_WORKSPACE, TargetPools } from "@pistachioreel/delivery";
import { Logger } from "@pistachioreel/logging";
import { newIncarnation, WebSocketMesh } from "@pistachioreel/peering";
import { HttpObjectStore, type ListedHost } from "@pistachioreel/platform-store";
import { Timeline } from "@pistachioreel/timeline";
import type { Server } from "node:http";
import { createAdminListener } from "./adminListener.js";
import { BlockMapFollower } from "./blockMapFollower.js";
import { CallerListener } from "./callerListener.js";
import { DocumentWatch } from "./documentWatch.js";
import { EntryMetrics } from "./entryMetrics.js";
import { FleetState } from "./fleetState.js";
import { HostFitness } from "./hostFitness.js";
import { pollHostList } from "./hostListPoll.js";
import { HostSteering } from "./hostSteering.js";
import { ListShares } from "./listShares.js";
import { LookupAnswer } from "./lookupAnswer.js";
import { monotonicNow } from "./monotonicNow.js";
import { WorkspaceAdmission } from "./workspaceAdmission.js";

const CLOSE_TIMEOUT_MS = 500;
/** Callers use a look-up for 10 s, so they can still come for that long. */
const MAX_LINGER_MS = 11_000;
/** Share of the drain time in which callers are still served; the rest is for running requests. */
const LINGER_SHARE = 0.5;

/** One entry host: it takes requests from callers and delivers them to targets. */
export class EntryHost {
    private readonly state = new FleetState();
    private readonly metrics = new EntryMetrics();
    private readonly pools = new TargetPools({ hostCount: () => this.state.hosts.length });
    private readonly delivery: Delivery;
    private readonly sweep: ClaimSweep;
    private readonly stopping = new AbortController();
    private readonly logger: Logger;
    private readonly store: HttpObjectStore;
    private readonly callers: CallerListener;
    private readonly admin: Server;
    private readonly mesh: WebSocketMesh;
    private readonly admission: WorkspaceAdmission;
    private readonly steering: HostSteering;
    private leaving = false;

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
        const { state, metrics, mesh } = this;
        this.steering = new HostSteering({
            self: { hostId, incarnation, availabilityZone, region },
            state,
            mesh,
            localAddress: settings.peers.address,
            now: monotonicNow,
        });
        const shared = { hostId, availabilityZone, region, incarnation, state, metrics, timeline };
        const observe: DeliveryObserver = (event, observed) => {
            metrics.delivery.inc({ event });
            timeline.record(event, observed);
        };
        this.sweep = new ClaimSweep({
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
            now: monotonicNow,
        });
        this.admission = new WorkspaceAdmission({
            identity: { hostId, incarnation, availabilityZone, region },
            state,
            view: new ListShares(state, hostId),
            mesh: this.mesh,
            metrics,
            now: monotonicNow,
        });
        const fitness = new HostFitness({
            hostId,
            mesh: this.mesh,
            now: monotonicNow,
            isLeaving: () => this.leaving,
        });
        this.callers = new CallerListener({
            ...shared,
            lookup: new LookupAnswer({ ...shared, unfitHosts: () => fitness.unfitHosts() }),
            admission: this.admission,
            delivery: this.delivery,
            now: monotonicNow,
        });
        this.admin = createAdminListener({
            ...shared,
            store: this.store,
            mesh: this.mesh,
            steering: this.steering,
            isReady: () => this.isReady,
        });
        state.onChange(name => {
            const fields = { document: name, version: state.versionOf(name) };
            timeline.record("document-in-force", { fields });
            this.logger.info({ event: "document-in-force", fields });
            if (name === "config") {
                this.retainPools();
            }
        });
    }

    /** Ready while a configuration is in force and the host is not leaving. */
    get isReady(): boolean {
        return !this.leaving && this.state.configuration !== undefined;
    }

    /** Opens the listeners and starts to follow the store. Rejects if an address is in use. */
    async start(): Promise<void> {
        const { callers, admin, hostId } = this.settings;
        await this.mesh.start();
        await listen(this.admin, admin);
        await listen(this.callers.server, callers);
        const { store, state, logger } = this;
        const { signal } = this.stopping;
        this.admission.start(signal);
        void new DocumentWatch({ store, state, logger, signal }).run();
        void new BlockMapFollower({ store, state, logger, signal }).run();
        void this.steering.run(signal);
        void pollHostList(store, hosts => this.takeHosts(hosts), signal);
        void this.sweep.run(signal);
        this.logger.info({
            event: "host-started",
            fields: { host: hostId, callers: `${callers.address}:${callers.port}` },
        });
    }

    /** Lets running requests finish within the drain time and closes everything. Returns whether all of them finished. */
    async stop(): Promise<boolean> {
        this.leaving = true;
        this.logger.info({ event: "host-leaving" });
        this.mesh.beat();
        const { drainTimeoutMs } = this.settings;
        const drained = await withTimeout(this.drain(), drainTimeoutMs);
        this.stopping.abort();
        this.callers.server.closeAllConnections();
        this.mesh.stop();
        this.admin.close();
        this.admin.closeAllConnections();
        await withTimeout(this.pools.close(), CLOSE_TIMEOUT_MS);
        await this.store.close();
        this.logger.info({ event: "host-stopped", fields: { drained } });
        return drained;
    }

    private async drain(): Promise<void> {
        const lingerMs = Math.min(MAX_LINGER_MS, this.settings.drainTimeoutMs * LINGER_SHARE);
        await this.callers.drain(lingerMs);
        await this.delivery.idle();
    }

    private takeHosts(hosts: readonly ListedHost[]): void {
        this.state.hosts = hosts;
        this.mesh.setPeers(hosts.map(({ id, peers }) => ({ hostId: id, address: peers })));
    }

    private retainPools(): void {
        const ids = new Set(this.state.configuration?.targets.map(target => target.id));
        this.pools.retain(ids).catch((error: Error) => {
            this.logger.warn({ event: "pool-close-failed", fields: { message: error.message } });
        });
    }
}

function listen(server: Server, { address, port }: { address: string; port: number; }): Promise<void> {
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, address, () => {
            server.off("error", reject);
            resolve();
        });
    });
}

/** Whether the work ended in time. */
async function withTimeout(work: Promise<void>, timeoutMs: number): Promise<boolean> {
    let timer: NodeJS.Timeout | undefined;
    const timeout = new Promise<false>(resolve => {
        timer = setTimeout(() => resolve(false), timeoutMs);
    });
    const ended = await Promise.race([work.then(() => true), timeout]);
    clearTimeout(timer);
    return ended;
}
