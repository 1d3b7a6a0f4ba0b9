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
    readonly onArrival?: ServerOptions["onArrival"];
}

/** Time for the hosts to link to each other and to learn of the servers. */
const SETTLING_MS = 3_000;

/** A small deployment on loopback: the store and the servers in this process, the hosts as processes of their own. */
export class Deployment {
    readonly hosts: GatewayHost[] = [];
    /** All requests that servers have run, in order. */
    readonly runs: RunRequest[] = [];
    private readonly store = new StoreStandIn();
    private readonly servers: ReviewServer[] = [];

    static async start({ hosts, servers, bodyOf, interfere, onArrival }: DeploymentOptions): Promise<Deployment> {
        const deployment = new Deployment();
        const store = await deployment.store.start();
        deployment.store.put("config", "main", desiredState());
        const onRun = (request: RunRequest) => deployment.runs.push(request);
        for (const { service, count, slots, workMs } of servers) {
            for (let index = 0; index < count; index++) {
                const id = `i-${service}-${index}`;
                await deployment.addServer(service, { id, slots, workMs, bodyOf, interfere, onArrival, onRun });
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

    private async addServer(service: string, opts: ServerOptions): Promise<void> {
        const server = new ReviewServer(opts);
        const address = await server.start();
        this.servers.push(server);
        this.store.put("servers", opts.id, serverEntry(address, service, opts.slots));
    }

    async stop(): Promise<void> {
        await Promise.all(this.hosts.map(host => host.stop()));
        this.servers.forEach(server => server.stop());
        this.store.stop();
    }
}
