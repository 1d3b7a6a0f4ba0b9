import type { Settings } from "@pistachioreel/config";
import { type ListedHost } from "@pistachioreel/platform-store";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { request } from "undici";
import { ChildProgram } from "./childProgram.js";
import { LoopbackNetwork } from "./loopbackNetwork.js";
import { runProgram } from "./runProgram.js";
import type { StoreFault } from "./storeStandIn.js";
import type { TargetRecord } from "./targetRecord.js";
import type { TargetBehaviour } from "./targetStandIn.js";

/** A target of a fleet and its row in the inventory. */
export interface FleetTarget {
    readonly address: string;
    readonly port: number;
    readonly availabilityZone: string;
    readonly region: string;
    readonly service: string;
    readonly slots: number;
    /** Initial behaviour of the stand-in where it differs from the default. */
    readonly behaviour?: Partial<TargetBehaviour>;
    /** State in the inventory; "live" by default. */
    readonly state?: "live" | "leaving";
}

/** Where a host runs. */
interface HostLocation {
    readonly availabilityZone: string;
    readonly region: string;
}

/** Processes of a fleet and changes to their configuration. */
export interface FleetOptions {
    readonly hosts: readonly HostLocation[];
    readonly targets: (network: LoopbackNetwork) => readonly FleetTarget[];
    /** Content of the rules file (JSON with comments). */
    readonly rules: string;
    /** Returns the settings of a host, given the default ones. */
    readonly settings?: (settings: Settings, index: number) => Settings;
    /** Returns an entry of the platform's host list, given the default one, for example with the address of a proxy. */
    readonly listed?: (host: ListedHost, index: number) => ListedHost;
    /** Returns the address of a target in the inventory, for example that of a proxy; its own by default. */
    readonly inventoryAddress?: (target: FleetTarget) => string;
    /** Runs before any process starts, for example to start proxies. */
    readonly beforeStart?: (fleet: Fleet) => Promise<void>;
}

const STAND_IN = "dist/standIn.cjs";
const BUNDLE = "dist/pistachioreel.cjs";
const STORE_PORT = 7000;
const CALLERS_PORT = 7001;
const ADMIN_PORT = 7002;
const PEERS_PORT = 7003;
const OPERATOR_TOKEN = "store-token-of-test-operators";
const HOST_TOKEN = "store-token-of-test-hosts";
const PEER_SECRET = "a-shared-secret-for-tests";
const READY_TIMEOUT_MS = 20_000;
const POLL_INTERVAL_MS = 50;

const HOST_GROUP = 1;
const STORE_GROUP = 0;

/** A store, targets and entry hosts that run as processes on loopback addresses. */
export class Fleet {
    readonly network = new LoopbackNetwork();
    /** Process of each target by its id, `address:port`. */
    readonly targets = new Map<string, ChildProgram>();
    readonly hosts: ChildProgram[] = [];
    readonly settings: Settings[] = [];
    /** Temporary folder for the files of the fleet; removed by `stop`. */
    readonly directory = mkdtempSync(join(tmpdir(), "pistachioreel-"));
    private readonly recordsFile = join(this.directory, "records.jsonl");
    private readonly storeAddress = this.network.address(STORE_GROUP, 0);
    private store: ChildProgram | undefined;

    private constructor(private readonly opts: FleetOptions) {}

    /** Starts all processes, applies the rules and waits until all hosts are ready. Stops everything on failure. */
    static async start(opts: FleetOptions): Promise<Fleet> {
        const fleet = new Fleet(opts);
        try {
            await fleet.startAll();
        }
        catch (error) {
            await fleet.stop();
            throw error;
        }
        return fleet;
    }

    get storeUrl(): string {
        return `http://${this.storeAddress}:${STORE_PORT}`;
    }

    /** `address:port` of the listener for callers. */
    callersAddressOf(index: number): string {
        return `${this.network.address(HOST_GROUP, index)}:${CALLERS_PORT}`;
    }

    /** `address:port` of the admin listener. */
    adminAddressOf(index: number): string {
        return `${this.network.address(HOST_GROUP, index)}:${ADMIN_PORT}`;
    }

    /** Applies rules together with the fleet's inventory and returns the output of the command. */
    async apply(rules = this.opts.rules): Promise<string> {
        const inventoryFile = join(this.directory, "inventory.csv");
        const rulesFile = join(this.directory, "rules.jsonc");
        writeFileSync(inventoryFile, this.renderInventory());
        writeFileSync(rulesFile, rules);
        return this.runOperatorCommand("apply", "--inventory", inventoryFile, "--rules", rulesFile);
    }

    /** Environment variables of an operator's commands: URL and token of the store. */
    get operatorEnvironment(): Record<string, string> {
        return { PISTACHIOREEL_STORE: this.storeUrl, PISTACHIOREEL_STORE_TOKEN: OPERATOR_TOKEN };
    }

    /** Runs a command of the program as an operator and returns its output. Rejects if the command fails. */
    async runOperatorCommand(...args: string[]): Promise<string> {
        return runProgram(BUNDLE, [...args, "--store", this.storeUrl], this.operatorEnvironment);
    }

    /** Issues an API key for a workspace. */
    async issueKey(workspace: string): Promise<{ id: string; key: string; }> {
        return JSON.parse(await this.runOperatorCommand("key", "issue", "--workspace", workspace, "--json")) as {
            id: string;
            key: string;
        };
    }

    /** Sets the fault of the store; fields that are not given are reset. */
    async setStoreFault(fault: Partial<StoreFault>): Promise<void> {
        await request(`${this.storeUrl}/control/fault`, { method: "POST", body: JSON.stringify(fault) });
    }

    /** Makes a copy of the store's content, from which `restoreStore` lets it come back. */
    async copyStore(): Promise<void> {
        await request(`${this.storeUrl}/control/copy`, { method: "POST" });
    }

    async restoreStore(): Promise<void> {
        await request(`${this.storeUrl}/control/restore`, { method: "POST" });
    }

    /** Changes the given fields of the behaviour of a target, `address:port`. */
    async setBehaviour(targetId: string, behaviour: Partial<TargetBehaviour>): Promise<void> {
        await request(`http://${targetId}/control/behaviour`, { method: "POST", body: JSON.stringify(behaviour) });
    }

    /** Starts the process of a host. A later call for the same index starts a new process at the same address. */
    async startHost(index: number): Promise<void> {
        const settings = this.settingsOf(index);
        this.settings[index] = settings;
        const file = join(this.directory, `${settings.hostId}.jsonc`);
        writeFileSync(file, JSON.stringify(settings));
        const opts = { readyLine: "event=host-started" };
        this.hosts[index] = await new ChildProgram(process.execPath, [BUNDLE, "entry", "--settings", file], opts)
            .waitUntilStarted();
    }

    /** Replaces the platform's host list by the listed hosts, all hosts by default. */
    async publishHosts(isListed: (index: number) => boolean = () => true): Promise<void> {
        const hosts = this.opts.hosts.map((_, index) => this.listedHost(index)).filter((_, index) => isListed(index));
        await request(`${this.storeUrl}/control/hosts`, { method: "POST", body: JSON.stringify(hosts) });
    }

    /** Waits until `/readyz` of a host responds with 200. Rejects after 20 s with the last output of the host. */
    async waitUntilReady(index: number): Promise<void> {
        const deadline = Date.now() + READY_TIMEOUT_MS;
        while (Date.now() < deadline) {
            const response = await request(`http://${this.adminAddressOf(index)}/readyz`).catch(() => undefined);
            await response?.body.dump();
            if (response?.statusCode === 200) {
                return;
            }
            await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS));
        }
        throw new Error(
            `host ${index} did not become ready; last output:\n${this.hosts[index]?.lines.slice(-5).join("\n")}`,
        );
    }

    /** All records that targets have written so far. */
    records(): TargetRecord[] {
        const lines = readFileSync(this.recordsFile, "utf8").split("\n").filter(line => line !== "");
        return lines.map(line => JSON.parse(line) as TargetRecord);
    }

    /** Kills all processes and removes their files. */
    async stop(): Promise<void> {
        const programs = [...this.hosts, ...this.targets.values(), ...(this.store ? [this.store] : [])];
        await Promise.all(programs.map(program => program.end("SIGKILL")));
        rmSync(this.directory, { recursive: true, force: true });
    }

    private async startAll(): Promise<void> {
        writeFileSync(this.recordsFile, "");
        await this.opts.beforeStart?.(this);
        const storeArgs = ["store", "--address", this.storeAddress, "--port", String(STORE_PORT)];
        storeArgs.push("--operator-token", OPERATOR_TOKEN, "--host-token", HOST_TOKEN);
        this.store = await this.startStandIn(storeArgs);
        await this.publishHosts();
        await Promise.all(this.opts.targets(this.network).map(target => this.startTarget(target)));
        await Promise.all(this.opts.hosts.map((_, index) => this.startHost(index)));
        await this.apply();
        await Promise.all(this.opts.hosts.map((_, index) => this.waitUntilReady(index)));
    }

    /** Starts the process of a target. A later call for the same address starts a new process there. */
    async startTarget({ address, port, slots, behaviour = {} }: FleetTarget): Promise<void> {
        const args = ["target", "--address", address, "--port", String(port), "--slots", String(slots)];
        args.push("--records", this.recordsFile, "--behaviour", JSON.stringify(behaviour));
        this.targets.set(`${address}:${port}`, await this.startStandIn(args));
    }

    private async startStandIn(args: string[]): Promise<ChildProgram> {
        return new ChildProgram(process.execPath, [STAND_IN, ...args], { readyLine: "listening" }).waitUntilStarted();
    }

    private settingsOf(index: number): Settings {
        const { availabilityZone, region } = this.opts.hosts[index] as HostLocation;
        const address = this.network.address(HOST_GROUP, index);
        const settings: Settings = {
            hostId: `host-${index}`,
            availabilityZone,
            region,
            callers: { address, port: CALLERS_PORT },
            admin: { address, port: ADMIN_PORT },
            peers: { address, port: PEERS_PORT, secrets: [PEER_SECRET] },
            store: { url: this.storeUrl, token: HOST_TOKEN },
            drainTimeoutMs: 10_000,
            logLevel: "info",
        };
        return this.opts.settings?.(settings, index) ?? settings;
    }

    private listedHost(index: number): ListedHost {
        const { hostId: id, availabilityZone, region, callers, admin, peers } = this.settingsOf(index);
        const host: ListedHost = {
            id,
            callers: `${callers.address}:${callers.port}`,
            admin: `${admin.address}:${admin.port}`,
            peers: `${peers.address}:${peers.port}`,
            availabilityZone,
            region,
            state: "live",
        };
        return this.opts.listed?.(host, index) ?? host;
    }

    private renderInventory(): string {
        const rows = this.opts.targets(this.network).map(target => {
            const address = this.opts.inventoryAddress?.(target) ?? target.address;
            const { port, availabilityZone, region, service, slots, state = "live" } = target;
            return [address, port, availabilityZone, region, service, slots, 360, state].join(",");
        });
        return ["address,port,availability_zone,region,service,slots,connections,state", ...rows].join("\n");
    }
}
