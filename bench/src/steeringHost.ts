import type { PeerIdentity } from "@pistachioreel/peering";
import {
    FairTargetQueue,
    LoadExchange,
    loadReportSchema,
    NearestLeastLoaded,
    RegionPermits,
    type SlotOutcome,
    SlotUsage,
    type TargetCandidate,
    TargetStatistics,
} from "@pistachioreel/steering";
import { Agent, request } from "undici";
import { DelayedMesh } from "./delayedMesh.js";
import { steeringPolicies } from "./steeringPolicies.js";

/** Target of the steering bench, always in the state `live`. */
export interface BenchTarget extends TargetCandidate {
    readonly state: "live";
}

interface SteeringHostOptions {
    readonly identity: PeerIdentity;
    /** A baseline of `steeringPolicies`, or `own`. */
    readonly policy: string;
    readonly targets: readonly BenchTarget[];
    readonly hosts: readonly PeerIdentity[];
    /** Actual slot usage of all hosts together. */
    readonly globalUsage: SlotUsage;
    readonly meshes: Map<string, DelayedMesh>;
    /** Requests that a region may run. */
    readonly regionCap: number;
    /** Called when a request of this host has ended, so that `all-knowing` hosts can use the free slot at once. */
    readonly onRelease: () => void;
    readonly weightOf: (workspace: string) => number;
}

const DEADLINE_MS = 2_000;
const MAX_ATTEMPTS = 3;
const POLL_INTERVAL_MS = 1_000;

/** Simulated entry host: queues requests and chooses targets as an entry host does, and sends them to the targets. */
export class SteeringHost {
    readonly latencies = new Map<string, number[]>();
    refused = 0;
    sheds = 0;
    private readonly globalReleases: { readonly id: string; readonly release: () => void; }[] = [];
    private readonly ownUsage = new SlotUsage();
    private readonly statistics = new TargetStatistics({ slots: this.ownUsage, now });
    private readonly agent = new Agent({ connections: 64, pipelining: 1 });
    private readonly stopping = new AbortController();
    private readonly mesh: DelayedMesh;
    private readonly queue: FairTargetQueue<BenchTarget>;

    constructor(private readonly opts: SteeringHostOptions) {
        const { identity, policy, targets, globalUsage } = opts;
        this.mesh = new DelayedMesh(identity, opts.meshes);
        const baseline = steeringPolicies[policy];
        const loadExchange = baseline === undefined ? this.createExchange() : undefined;
        const permits = baseline === undefined ? this.createPermits() : undefined;
        this.queue = new FairTargetQueue<BenchTarget>({
            chooser: baseline?.({ ...identity, ownUsage: this.ownUsage, globalUsage }) ?? new NearestLeastLoaded({
                ...identity,
                statistics: this.statistics,
            }),
            slots: this.ownUsage,
            permits,
            isNear: ({ region }) => region === identity.region,
            freeShare: list => this.statistics.freeShare(list),
            weightOf: opts.weightOf,
            targetsOf: () => targets,
            onDispatch: target => {
                this.globalReleases.push({ id: target.id, release: globalUsage.acquire(target.id) });
                loadExchange?.handleCountChange(target.id);
            },
            onOutcome: (target, outcome) => {
                const index = this.globalReleases.findIndex(({ id }) => id === target.id);
                this.globalReleases.splice(index, 1)[0]?.release();
                opts.onRelease();
                this.statistics.recordOutcome(target, outcome);
                loadExchange?.handleCountChange(target.id);
            },
            now,
        });
        if (loadExchange !== undefined) {
            const regionTargets = targets.filter(target => target.region === identity.region);
            loadExchange.setPolledTargets(regionTargets.map(target => target.id));
            const timer = setInterval(() => regionTargets.forEach(target => void this.poll(target)), POLL_INTERVAL_MS);
            this.stopping.signal.addEventListener("abort", () => clearInterval(timer));
        }
        void permits?.run(this.stopping.signal);
    }

    /** Dispatches waiting requests to targets with a free slot. */
    dispatchWaiting(): void {
        this.queue.dispatchWaiting();
    }

    async send(workspace: string): Promise<void> {
        const startedAt = now();
        const excluded = new Set<string>();
        for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt++) {
            const grant = await this.queue.acquire({
                service: "catalogue",
                workspace,
                priority: "normal",
                deadlineAt: startedAt + DEADLINE_MS,
                excluded,
                signal: new AbortController().signal,
            });
            if (grant.isErr()) {
                break;
            }
            const { target, release } = grant.value;
            excluded.add(target.id);
            const sentAt = now();
            const end = await this.sendToTarget(target.id);
            release({ end, latencyMs: now() - sentAt });
            if (end === "complete") {
                const values = this.latencies.get(workspace) ?? [];
                this.latencies.set(workspace, values);
                values.push(now() - startedAt);
                return;
            }
            this.sheds += end === "refused" ? 1 : 0;
        }
        this.refused++;
    }

    async close(): Promise<void> {
        this.stopping.abort();
        this.mesh.close();
        await this.agent.destroy();
    }

    private createExchange(): LoadExchange {
        return new LoadExchange({
            mesh: this.mesh,
            availabilityZone: this.opts.identity.availabilityZone,
            slots: this.ownUsage,
            statistics: this.statistics,
            findTarget: id => this.opts.targets.find(target => target.id === id),
            onPeerCounts: () => this.queue.dispatchWaiting(),
            now,
        });
    }

    private createPermits(): RegionPermits {
        const { identity, hosts, regionCap } = this.opts;
        const ownersOf = (region: string) => hosts.filter(host => host.region === region).map(host => host.hostId);
        return new RegionPermits({
            ...identity,
            mesh: this.mesh,
            isUncapped: () => false,
            ownersOf,
            ownedPermits: region => {
                const owners = ownersOf(region);
                return owners.includes(identity.hostId) ? Math.floor(regionCap / owners.length) : 0;
            },
            possibleHolders: () => hosts.map(host => host.hostId).filter(id => id !== identity.hostId),
            maxRunMs: () => DEADLINE_MS,
            onChange: () => this.queue.dispatchWaiting(),
            now,
        });
    }

    private async sendToTarget(targetId: string): Promise<SlotOutcome["end"]> {
        try {
            const signal = AbortSignal.timeout(DEADLINE_MS);
            const response = await request(`http://${targetId}/work`, { dispatcher: this.agent, signal });
            await response.body.dump();
            return response.statusCode === 200 ? "complete" : "refused";
        }
        catch (error) {
            const isUnsent = error instanceof Error && "code" in error && error.code === "ECONNREFUSED";
            return isUnsent ? "unsent" : "broken";
        }
    }

    private async poll(target: BenchTarget): Promise<void> {
        const requestedAt = now();
        const knownRunning = this.statistics.knownRunningOn(target.id);
        try {
            const response = await request(`http://${target.id}/load`, { dispatcher: this.agent });
            const report = loadReportSchema.safeParse(await response.body.json());
            if (report.success) {
                this.statistics.recordReport(target, report.data, requestedAt, knownRunning);
            }
        }
        catch {
            // The scenario may have stopped the target.
        }
    }
}

function now(): number {
    return performance.now();
}
