import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { get } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";

interface GatewayHostOptions {
    readonly hostId: string;
    /** `address:port` of the store. */
    readonly store: string;
    /** Peer listeners of other hosts. */
    readonly seeds: readonly string[];
}

/** How the process has ended. */
interface ProcessEnd {
    readonly code: number | null;
    readonly signal: string | null;
}

const LISTENERS = ["callers", "readiness", "directory", "peers", "metrics"] as const;
const START_TIMEOUT_MS = 20_000;
const PAGE_BYTES = 4_096;
const MS_PER_TICK = 10;
const RESTART_DELAY_MS = 1_000;
const SETTINGS_FILE = "settings.json";
const LOOPBACK = "127.0.0.1";
/** Limits of the machines of the site. */
const MEMORY_MB = 350;
const GRACE_MS = 6_000;

/** One gateway host, built and started with the commands of the deploy file. */
export class GatewayHost {
    /** Each end of a process of this host, oldest first. */
    readonly ends: ProcessEnd[] = [];
    /** Output of all processes of this host. */
    readonly lines: string[] = [];
    /** Whether a process that has ended is started again after a short delay, as the platform does. */
    isRestarted = false;
    private child: ChildProcess;

    private constructor(
        readonly hostId: string,
        readonly addresses: Readonly<Record<typeof LISTENERS[number], string>>,
        private readonly folder: string,
    ) {
        this.child = this.spawn();
    }

    /** Resolves once the host says that it is ready. */
    static async start({ hostId, store, seeds }: GatewayHostOptions): Promise<GatewayHost> {
        const ports = await freePorts(LISTENERS.length);
        const addresses = Object.fromEntries(
            LISTENERS.map((name, index) => [name, `${LOOPBACK}:${ports[index]}`]),
        ) as Record<typeof LISTENERS[number], string>;
        const settings = {
            hostId,
            availabilityZone: "tbs-a",
            region: "tbilisi",
            localAddress: LOOPBACK,
            ...addresses,
            peerSecrets: [`pistachioreel@${store}`],
            store,
            seeds,
            regions: { "tbs-a": "tbilisi" },
            isFirstStart: false,
            processors: 1,
            processorShare: 0.54,
            memoryMb: MEMORY_MB,
            stopTimeout: `${GRACE_MS}ms`,
            drainBound: "2500ms",
            maxLookupLifetime: "5s",
            retryShare: 0.2,
            retrySlack: 60,
            retryWindow: "10s",
            coldFactor: 1.5,
            coldSlack: 5,
            logLevel: "info",
        };
        const folder = mkdtempSync(join(tmpdir(), "review-"));
        writeFileSync(join(folder, SETTINGS_FILE), JSON.stringify(settings));
        const host = new GatewayHost(hostId, addresses, folder);
        await host.waitUntilReady();
        return host;
    }

    /** Memory of the process that is resident, in bytes; 0 once it has ended. */
    get residentBytes(): number {
        try {
            const [, pages] = readFileSync(`/proc/${this.child.pid}/statm`, "utf8").split(" ");
            return Number(pages) * PAGE_BYTES;
        }
        catch {
            return 0;
        }
    }

    /** Processor time that the process has used, in ms; 0 once it has ended. */
    get processorMs(): number {
        try {
            const fields = readFileSync(`/proc/${this.child.pid}/stat`, "utf8").split(") ")[1]!.split(" ");
            return (Number(fields[11]) + Number(fields[12])) * MS_PER_TICK;
        }
        catch {
            return 0;
        }
    }

    signal(name: NodeJS.Signals): void {
        this.child.kill(name);
    }

    /** Ends the process, if it runs, and removes its files. */
    async stop(): Promise<void> {
        this.isRestarted = false;
        const { child } = this;
        if (child.exitCode === null && child.signalCode === null) {
            const ended = new Promise(resolve => child.once("exit", resolve));
            child.kill("SIGKILL");
            await ended;
        }
        rmSync(this.folder, { recursive: true, force: true });
    }

    /** Whether the host answers the platform's check with 200 within a second. */
    isReady(): Promise<boolean> {
        return new Promise(resolve => {
            const request = get(`http://${this.addresses.readiness}/ready`, { timeout: 1_000 }, response => {
                response.resume();
                resolve(response.statusCode === 200);
            });
            request.on("timeout", () => request.destroy());
            request.on("error", () => resolve(false));
        });
    }

    private spawn(): ChildProcess {
        const child = spawn("node", [
            "--max-old-space-size=200",
            "target/gateway.cjs",
            join(this.folder, SETTINGS_FILE),
        ], {
            stdio: ["ignore", "pipe", "pipe"],
        });
        const kill = () => child.kill("SIGKILL");
        process.once("exit", kill);
        child.once("exit", (code, signal) => {
            process.off("exit", kill);
            this.ends.push({ code, signal });
            setTimeout(() => {
                if (this.isRestarted) {
                    this.child = this.spawn();
                }
            }, RESTART_DELAY_MS);
        });
        const collect = (bytes: Buffer) => this.lines.push(...bytes.toString().split("\n").filter(line => line !== ""));
        child.stdout?.on("data", collect);
        child.stderr?.on("data", collect);
        return child;
    }

    private async waitUntilReady(): Promise<void> {
        const startedAt = performance.now();
        while (!await this.isReady()) {
            if (this.ends.length > 0 || performance.now() - startedAt > START_TIMEOUT_MS) {
                throw new Error(`the host ${this.hostId} did not start: ${this.lines.join("\n")}`);
            }
            await sleep(50);
        }
    }
}

/** Ports that are free on loopback. All are held until the last is known, so that they differ. */
async function freePorts(count: number): Promise<number[]> {
    const servers = Array.from({ length: count }, () => createServer());
    await Promise.all(servers.map(server => new Promise<void>(resolve => server.listen(0, LOOPBACK, resolve))));
    const ports = servers.map(server => (server.address() as { port: number; }).port);
    await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))));
    return ports;
}
