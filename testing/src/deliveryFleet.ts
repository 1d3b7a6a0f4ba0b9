import { Caller } from "./caller.js";
import { FaultProxy } from "./faultProxy.js";
import { Fleet, type FleetTarget } from "./fleet.js";
import type { TargetRecord } from "./targetRecord.js";

/** Defaults: 3 hosts, 2 zones, 8 slots per target, a deadline of 3 s and an attempt timeout of 2 s. */
interface DeliveryFleetOptions {
    readonly hosts?: number;
    /** Availability zones, each with one target. */
    readonly zones?: readonly string[];
    /** Slots of each target. */
    readonly slots?: number;
    readonly deadlineMs?: number;
    readonly attemptTimeoutMs?: number;
    /** Initial behaviour of all targets. */
    readonly behaviour?: FleetTarget["behaviour"];
    readonly drainTimeoutMs?: number;
}

/** Fields of a request that replace the defaults of the fleet. */
type RequestOverrides = Partial<Parameters<Caller["send"]>[0]>;

const REGION = "perth";
const PORT = 8080;
const TARGET_GROUP = 2;
const PROXY_GROUP = 3;

/** A fleet whose entry hosts connect to each target through a fault proxy. */
export class DeliveryFleet {
    readonly caller = new Caller();
    /** The proxy of each target, in the order of `targets`. */
    readonly proxies: FaultProxy[] = [];

    private constructor(readonly fleet: Fleet, readonly targets: FleetTarget[]) {}

    /** Starts the fleet and the proxies; resolves when all hosts are ready. */
    static async start(opts: DeliveryFleetOptions = {}): Promise<DeliveryFleet> {
        const { hosts = 3, zones = ["perth-a", "perth-b"], slots = 8, behaviour } = opts;
        const targets: FleetTarget[] = [];
        const proxyAddresses = new Map<string, string>();
        const fleet = await Fleet.start({
            hosts: Array.from({ length: hosts }, (_, index) => ({
                availabilityZone: zones[index % zones.length] as string,
                region: REGION,
            })),
            targets: network => {
                zones.slice(targets.length).forEach((availabilityZone, index) => {
                    const address = network.address(TARGET_GROUP, index);
                    proxyAddresses.set(address, network.address(PROXY_GROUP, index));
                    const target = { address, port: PORT, availabilityZone, region: REGION, service: "shop", slots };
                    targets.push({ ...target, behaviour });
                });
                return targets;
            },
            inventoryAddress: ({ address }) => proxyAddresses.get(address) as string,
            rules: rulesOf(opts),
            settings: settings => ({ ...settings, drainTimeoutMs: opts.drainTimeoutMs ?? settings.drainTimeoutMs }),
        });
        const deliveryFleet = new DeliveryFleet(fleet, targets);
        for (const { address } of targets) {
            const listenAt = { address: proxyAddresses.get(address) as string, port: PORT };
            deliveryFleet.proxies.push(await new FaultProxy(listenAt, { address, port: PORT }).start());
        }
        return deliveryFleet;
    }

    /** Sends a non-idempotent request, which must run at most once. */
    sendOrder(host: number, marker: string, overrides: RequestOverrides = {}): ReturnType<Caller["send"]> {
        return this.send(host, marker, { path: "/orders", method: "POST", isIdempotent: false, ...overrides });
    }

    /** Sends an idempotent request to an entry host. */
    send(host: number, marker: string, overrides: RequestOverrides = {}): ReturnType<Caller["send"]> {
        return this.caller.send({ host: this.fleet.callersAddressOf(host), path: "/stock", marker, ...overrides });
    }

    /** Changes the given fields of the behaviour of targets, all targets by default. */
    async setBehaviour(behaviour: FleetTarget["behaviour"], indexes = [...this.targets.keys()]): Promise<void> {
        for (const index of indexes) {
            await this.fleet.setBehaviour(`${this.targets[index]?.address}:${PORT}`, behaviour ?? {});
        }
    }

    /** Kills a target with SIGKILL and waits until it has exited. */
    async killTarget(index: number): Promise<void> {
        await this.fleet.targets.get(`${this.targets[index]?.address}:${PORT}`)?.end("SIGKILL");
    }

    /** Starts a target again at its address, with its initial behaviour. */
    async restartTarget(index: number): Promise<void> {
        await this.fleet.startTarget(this.targets[index] as FleetTarget);
    }

    /** Records of each time that a target started to run the request. */
    runsOf(marker: string): TargetRecord[] {
        return this.fleet.records().filter(record => record.marker === marker && record.event === "start");
    }

    /** Reads the first metric of a host whose line starts with `name`; 0 if there is none. */
    async metric(host: number, name: string): Promise<number> {
        const text = await (await fetch(`http://${this.fleet.adminAddressOf(host)}/metrics`)).text();
        return Number(text.split("\n").find(line => line.startsWith(name))?.split(" ").at(-1) ?? 0);
    }

    async stop(): Promise<void> {
        await this.caller.close();
        this.proxies.forEach(proxy => proxy.close());
        await this.fleet.stop();
    }
}

function rulesOf({ deadlineMs = 3_000, attemptTimeoutMs = 2_000 }: DeliveryFleetOptions): string {
    const route = { service: "shop", open: true };
    return JSON.stringify({
        deployment: "delivery-test",
        services: { shop: { deadlineMs, attemptTimeoutMs } },
        routes: [
            { ...route, path: "/stock", methods: ["GET", "HEAD", "POST"], idempotent: true },
            { ...route, path: "/notes", methods: ["POST"], idempotent: true, maxBodyBytes: 100_000 },
            { ...route, path: "/orders", methods: ["POST"], idempotent: false },
            { ...route, path: "/ფასები", methods: ["GET"], idempotent: true },
        ],
        workspaces: { growers: { rate: 100, burst: 100 } },
    });
}
