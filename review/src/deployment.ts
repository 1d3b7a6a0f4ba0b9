import { setTimeout as sleep } from "node:timers/promises";
import { StoreStandIn } from "../../platform/test/storeStandIn.js";
import { desiredState, serverEntry } from "./documents.js";
import { GatewayHost } from "./gatewayHost.js";
import { ReviewServer, type RunRequest } from "./reviewServer.js";

type ServerOptions = ConstructorParameters<typeof ReviewServer>[0];

interface DeploymentOptions {
    readonly hosts: number;
    readonly servers: readonly {
        readonly service: string;
        readonly count: number;
        readonly slots: number;
        readonly workMs: number;
    }[];
    readonly bodyOf: ServerOptions["bodyOf"];
    readonly interfere?: ServerOptions["interfere"];
}

interface ReleaseOptions {
    readonly service: string;
    /** Number of servers to replace, one after the other. */
    readonly count: number;
    readonly gapMs: number;
    /** What the new version of the servers adds to its answers. */
    readonly extraHead: ServerOptions["extraHead"];
}

/** Time for which a server goes on serving after it has said that it leaves. */
const LEAVING_MS = 4_000;
/** Time for the hosts to link to each other and to learn of the servers. */
const SETTLING_MS = 3_000;

/** A small deployment on loopback: the store and the servers in this process, the hosts as processes of their own. */
export class Deployment {
    readonly hosts: GatewayHost[] = [];
    /** All requests that servers have run, in order. */
    readonly runs: RunRequest[] = [];
    private readonly store = new StoreStandIn();
    private readonly servers: ReviewServer[] = [];
    private readonly services = new Map<string, ServerOptions & { readonly address: string; }>();

    static async start({ hosts, servers, bodyOf, interfere }: DeploymentOptions): Promise<Deployment> {
        const deployment = new Deployment();
        const store = await deployment.store.start();
        deployment.store.put("config", "main", desiredState());
        const onRun = (request: RunRequest) => deployment.runs.push(request);
        for (const { service, count, slots, workMs } of servers) {
            for (let index = 0; index < count; index++) {
                const id = `i-${service}-${index}`;
                await deployment.addServer(service, { id, slots, workMs, bodyOf, interfere, onRun });
            }
        }
        for (let index = 0; index < hosts; index++) {
            const seeds = deployment.hosts.map(({ addresses }) => addresses.peers);
            deployment.hosts.push(await GatewayHost.start({ hostId: `front-tbs-a-${index + 1}`, store, seeds }));
        }
        await sleep(SETTLING_MS);
        return deployment;
    }

    /** Puts a new desired state into the store, as the operator does. */
    applyDesiredState(state: unknown): void {
        this.store.put("config", "main", state);
    }

    /** Replaces servers by those of a new version: the new one starts first, then the old one drains and ends. */
    async release({ service, count, gapMs, extraHead }: ReleaseOptions): Promise<void> {
        for (let index = 0; index < count; index++) {
            const oldId = `i-${service}-${index}`;
            const old = this.services.get(oldId)!;
            await this.addServer(service, { ...old, id: `${oldId}-v2`, extraHead });
            const entry = serverEntry(old.address, service, old.slots);
            this.store.put("servers", oldId, { ...entry, status: { ...entry.status, state: "draining", seq: 2 } });
            setTimeout(() => this.store.remove("servers", oldId), LEAVING_MS);
            await sleep(gapMs);
        }
    }

    private async addServer(service: string, opts: ServerOptions): Promise<void> {
        const server = new ReviewServer(opts);
        const address = await server.start();
        this.servers.push(server);
        this.services.set(opts.id, { ...opts, address });
        this.store.put("servers", opts.id, serverEntry(address, service, opts.slots));
    }

    async stop(): Promise<void> {
        await Promise.all(this.hosts.map(host => host.stop()));
        this.servers.forEach(server => server.stop());
        this.store.stop();
    }
}
