import { request } from "undici";
import { type ConnectionFault, FaultProxy } from "./faultProxy.js";
import { Fleet, type FleetOptions } from "./fleet.js";

/** The default rules have two routes of one service and two workspaces with a limit of 10,000 requests per second. */
interface PartitionableFleetOptions {
    /** Availability zone of each host, named `<region>-<letter>`. */
    readonly zones: readonly string[];
    readonly rules?: string;
    /** Returns the settings of a host, given the default ones with the address of the store's proxy. */
    readonly settings?: FleetOptions["settings"];
}

const HOST_GROUP = 1;
const TARGET_GROUP = 2;
const PROXY_GROUP = 3;
const STORE_PROXY_INDEX = 198;
const STORE_PORT = 7000;
const PEERS_PORT = 7003;
const TARGET_PORT = 8080;
const POLL_INTERVAL_MS = 20;
const DEFAULT_RULES = JSON.stringify({
    deployment: "test",
    services: { schedule: {} },
    routes: [
        { path: "/visits", methods: ["GET"], service: "schedule", idempotent: true },
        { path: "/notices", methods: ["GET"], service: "schedule", idempotent: true, open: true },
    ],
    workspaces: { bank: { rate: 10_000, burst: 10_000 }, courts: { rate: 10_000, burst: 10_000 } },
});
const pass: ConnectionFault = { mode: "pass" };

/**
 * A fleet with one target per availability zone, whose hosts reach each other and the store through fault proxies.
 */
export class PartitionableFleet {
    private readonly peerProxies: FaultProxy[] = [];
    private storeProxy: FaultProxy | undefined;

    private constructor(readonly fleet: Fleet, private readonly zones: readonly string[]) {}

    /** Starts the fleet and its proxies; resolves when all hosts are ready. */
    static async start(
        { zones, rules = DEFAULT_RULES, settings }: PartitionableFleetOptions,
    ): Promise<PartitionableFleet> {
        const locations = zones.map(availabilityZone => ({ availabilityZone, region: regionOf(availabilityZone) }));
        const holder: { fleet?: PartitionableFleet; } = {};
        const fleet = await Fleet.start({
            hosts: locations,
            targets: network =>
                [...new Set(zones)].map((availabilityZone, index) => ({
                    address: network.address(TARGET_GROUP, index),
                    port: TARGET_PORT,
                    availabilityZone,
                    region: regionOf(availabilityZone),
                    service: "schedule",
                    slots: 50,
                })),
            rules,
            beforeStart: async startingFleet => {
                holder.fleet = new PartitionableFleet(startingFleet, zones);
                await holder.fleet.startProxies();
            },
            settings: (base, index) => {
                const url = `http://${addressIn(base.peers.address, PROXY_GROUP, STORE_PROXY_INDEX)}:${STORE_PORT}`;
                const changed = { ...base, store: { ...base.store, url } };
                return settings?.(changed, index) ?? changed;
            },
            listed: (host, index) => ({ ...host, peers: `${addressIn(host.peers, PROXY_GROUP, index)}:${PEERS_PORT}` }),
        });
        return holder.fleet ?? new PartitionableFleet(fleet, zones);
    }

    /** Sets the fault of each link between hosts, given the host that opened it and the one that accepted it. */
    setPeerFault(faultOf: (opener: number, acceptor: number) => ConnectionFault): void {
        this.peerProxies.forEach((proxy, acceptor) =>
            proxy.setFault(source => faultOf(this.indexOf(source), acceptor))
        );
    }

    /** Sets the fault of each host's connections to the store. Operator commands connect to the store directly. */
    setStoreFault(faultOf: (host: number) => ConnectionFault): void {
        this.storeProxy?.setFault(source => faultOf(this.indexOf(source)));
    }

    /** Partitions the network: drops data between hosts of different groups; only group 0 still reaches the store. */
    partition(groupOf: (host: number) => number): void {
        this.setPeerFault((opener, acceptor) => groupOf(opener) === groupOf(acceptor) ? pass : { mode: "silent" });
        this.setStoreFault(host => groupOf(host) === 0 ? pass : { mode: "silent" });
    }

    /** Ends all network faults. Resets all open connections, because the data dropped on silent ones is lost. */
    heal(): void {
        for (const proxy of [...this.peerProxies, this.storeProxy]) {
            proxy?.setFault(() => ({ mode: "refuse" }));
            proxy?.setFault(() => pass);
        }
    }

    /** Drops all further data on the open links between hosts; new links are not affected. */
    silenceOpenLinks(): void {
        this.peerProxies.forEach(proxy => proxy.silenceOpenConnections());
    }

    /** Response of a host's admin listener to `/v1/status`. */
    async status<T>(index: number): Promise<T> {
        const response = await request(`http://${this.fleet.adminAddressOf(index)}/v1/status`);
        return await response.body.json() as T;
    }

    /**
     * Waits until the check holds for the status of each given host, all by default. Returns the time taken in ms.
     * Rejects after `timeoutMs` with the last status of the hosts for which it does not hold.
     */
    async waitForAll<T>(
        description: string,
        check: (status: T, index: number) => boolean,
        { timeoutMs = 15_000, hosts = this.zones.map((_, index) => index) } = {},
    ): Promise<number> {
        const startedAt = performance.now();
        let unmetHosts = hosts;
        while (performance.now() - startedAt < timeoutMs) {
            const statuses = await Promise.all(hosts.map(index => this.status<T>(index).catch(() => undefined)));
            unmetHosts = hosts.filter((host, index) => statuses[index] === undefined || !check(statuses[index], host));
            if (unmetHosts.length === 0) {
                return performance.now() - startedAt;
            }
            await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS));
        }
        const latest = await Promise.all(unmetHosts.map(index => this.status<T>(index).catch(String)));
        throw new Error(
            `not met within ${timeoutMs} ms: ${description}; hosts ${unmetHosts.join(" ")}: ${JSON.stringify(latest)}`,
        );
    }

    async stop(): Promise<void> {
        this.peerProxies.forEach(proxy => proxy.close());
        this.storeProxy?.close();
        await this.fleet.stop();
    }

    /** Starts the proxy of the store and that of each host's listener for peers. */
    private async startProxies(): Promise<void> {
        const { network } = this.fleet;
        const endpoint = (group: number, index: number, port: number) => ({
            address: network.address(group, index),
            port,
        });
        const storeListen = endpoint(PROXY_GROUP, STORE_PROXY_INDEX, STORE_PORT);
        this.storeProxy = await new FaultProxy(storeListen, endpoint(0, 0, STORE_PORT)).start();
        for (const index of this.zones.keys()) {
            const proxy = new FaultProxy(
                endpoint(PROXY_GROUP, index, PEERS_PORT),
                endpoint(HOST_GROUP, index, PEERS_PORT),
            );
            this.peerProxies.push(await proxy.start());
        }
    }

    /** Index of the host at a source address. */
    private indexOf(source: string): number {
        return Number(source.split(".")[3]) - 1;
    }
}

function regionOf(availabilityZone: string): string {
    return availabilityZone.split("-")[0] as string;
}

/** Address of a process of another group in the loopback network of a host. */
function addressIn(hostAddress: string, group: number, index: number): string {
    const [first, second, third] = hostAddress.split(".").map(Number) as [number, number, number];
    return `${first}.${second}.${third - HOST_GROUP + group}.${index + 1}`;
}
