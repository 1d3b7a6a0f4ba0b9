import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { freeListenerAddresses } from "../../platform/test/freeListenerAddresses.js";
import { trialGuard } from "./trialGuard.js";

interface TrialGatewayOptions {
    readonly hostId: string;
    readonly zone: string;
    /** `address:port` of the store. */
    readonly store: string;
    /** `address:port` of the other hosts' listeners for hosts. */
    readonly seeds?: readonly string[];
}

type ListenerAddresses = Awaited<ReturnType<typeof freeListenerAddresses>>;

/** Memory of a machine of the small deployments, in MB. */
export const MACHINE_MEMORY_MB = 350;
const KB_PER_MB = 1_024;
const START_TIMEOUT_MS = 15_000;
const POLL_MS = 50;

/** A gateway host, started with the command of the deploy file and the settings of the deployment ssm-witness. */
export class TrialGateway {
    private readonly exited: Promise<unknown>;

    private constructor(
        private readonly child: ChildProcess,
        private readonly folder: string,
        readonly addresses: ListenerAddresses,
    ) {
        this.exited = once(child, "exit");
    }

    /** Resolves once the host says that it is ready. */
    static async start({ hostId, zone, store, seeds = [] }: TrialGatewayOptions): Promise<TrialGateway> {
        const addresses = await freeListenerAddresses();
        const settings = {
            hostId,
            availabilityZone: zone,
            region: "tbilisi",
            localAddress: "127.0.0.1",
            ...addresses,
            peerSecrets: [`pistachioreel@${store}`],
            store,
            seeds,
            regions: { "tbs-a": "tbilisi", "tbs-b": "tbilisi" },
            isFirstStart: false,
            processors: 1,
            processorShare: 0.54,
            memoryMb: MACHINE_MEMORY_MB,
            stopTimeout: "6s",
            drainBound: "2500ms",
            maxLookupLifetime: "5s",
            retryShare: 0.2,
            retrySlack: 60,
            retryWindow: "10s",
            coldFactor: 1.5,
            coldSlack: 5,
            logLevel: "info",
        };
        const folder = mkdtempSync(join(tmpdir(), "trial-"));
        const file = join(folder, "settings.jsonc");
        writeFileSync(file, JSON.stringify(settings));
        const child = spawn(process.execPath, ["--max-old-space-size=200", "target/gateway.cjs", file], {
            stdio: ["ignore", "ignore", "inherit"],
        });
        trialGuard.watchProcess(child);
        trialGuard.watchFolder(folder);
        const gateway = new TrialGateway(child, folder, addresses);
        process.once("exit", () => gateway.kill());
        await gateway.waitUntilReady();
        return gateway;
    }

    get hasEnded(): boolean {
        return this.child.exitCode !== null || this.child.signalCode !== null;
    }

    /** Memory of the process that no file backs, in MB: it cannot be dropped and read again. */
    get anonymousMb(): number {
        return this.statusMb("RssAnon");
    }

    /** All resident memory of the process, in MB. */
    get residentMb(): number {
        return this.statusMb("VmRSS");
    }

    kill(): void {
        this.child.kill("SIGKILL");
        rmSync(this.folder, { recursive: true, force: true });
    }

    async waitUntilEnded(): Promise<void> {
        await this.exited;
    }

    private statusMb(field: string): number {
        const status = readFileSync(`/proc/${this.child.pid}/status`, "utf8");
        return Number(new RegExp(`^${field}:\\s+(\\d+) kB$`, "m").exec(status)?.[1] ?? 0) / KB_PER_MB;
    }

    private async waitUntilReady(): Promise<void> {
        const endsAt = performance.now() + START_TIMEOUT_MS;
        while (!await this.isReady()) {
            if (this.hasEnded || performance.now() > endsAt) {
                throw new Error("the gateway did not become ready");
            }
            await new Promise(resolve => setTimeout(resolve, POLL_MS));
        }
    }

    private async isReady(): Promise<boolean> {
        try {
            return (await fetch(`http://${this.addresses.readiness}/ready`)).status === 200;
        }
        catch {
            return false;
        }
    }
}
