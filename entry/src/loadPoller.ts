import type { Target } from "@pistachioreel/config";
import type { PeerIdentity } from "@pistachioreel/peering";
import { type LoadReport, loadReportSchema } from "@pistachioreel/steering";
import { createHash } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import { Agent, request } from "undici";

interface LoadPollerOptions {
    readonly self: Omit<PeerIdentity, "incarnation">;
    readonly targets: () => readonly Target[];
    /** Hosts that are connected to this one. */
    readonly peers: () => readonly PeerIdentity[];
    /** Source address of the polls. */
    readonly localAddress: string;
    /** Called in each round with all targets that are assigned to this host. */
    readonly onAssigned: (targetIds: readonly string[]) => void;
    /** Called before each poll of a target; the returned callback receives a valid report. */
    readonly onPollStart: (target: Target) => (report: LoadReport) => void;
    readonly signal: AbortSignal;
}

const POLL_INTERVAL_MS = 1_000;
/** A report that takes longer than this would be stale. */
const POLL_TIMEOUT_MS = 900;
/** Hosts that poll each target; with two of them, reports continue when one fails. */
const POLLERS_PER_TARGET = 2;
const MAX_REPORT_BYTES = 4_096;
/** Limits the polls per second of a host, for the case that it is the only one for many targets. */
const MAX_POLLS_PER_ROUND = 200;

/** Polls the load of targets once a second. Rendezvous hashing distributes the targets among the hosts. */
export class LoadPoller {
    private readonly agent: Agent;
    private readonly inFlightTargetIds = new Set<string>();
    private roundOffset = 0;

    constructor(private readonly opts: LoadPollerOptions) {
        this.agent = new Agent({
            connections: 1,
            pipelining: 1,
            connect: { localAddress: opts.localAddress, timeout: POLL_TIMEOUT_MS },
        });
    }

    /** Runs until the signal aborts. */
    async run(): Promise<void> {
        const { signal } = this.opts;
        while (!signal.aborted) {
            const startedAt = performance.now();
            const assigned = this.opts.targets().filter(target => this.isAssigned(target));
            this.opts.onAssigned(assigned.map(target => target.id));
            const round = this.nextRound(assigned);
            for (const target of round) {
                void this.poll(target);
                // Spreads the polls evenly over the interval to avoid load peaks.
                await sleep(POLL_INTERVAL_MS / round.length, undefined, { signal }).catch(() => undefined);
            }
            const remainingMs = Math.max(1, POLL_INTERVAL_MS - (performance.now() - startedAt));
            await sleep(remainingMs, undefined, { signal }).catch(() => undefined);
        }
        await this.agent.destroy();
    }

    /**
     * Whether this host is one of those that poll the target. Hosts of the target's zone are eligible, or those of its
     * region if the zone has none, so that no target of a region with hosts is left out.
     */
    private isAssigned(target: Target): boolean {
        const { self, peers } = this.opts;
        const hosts = [self, ...peers()];
        const zoneHosts = hosts.filter(host => host.availabilityZone === target.availabilityZone);
        const candidates = zoneHosts.length > 0 ? zoneHosts : hosts.filter(host => host.region === target.region);
        const ranked = candidates.map(({ hostId }) => ({ hostId, rank: rankOf(hostId, target.id) }))
            .sort((a, b) => a.rank < b.rank ? -1 : 1);
        return ranked.slice(0, POLLERS_PER_TARGET).some(({ hostId }) => hostId === self.hostId);
    }

    /** Selects the targets of the next round; above the limit, successive rounds cycle through all of them. */
    private nextRound(assigned: readonly Target[]): readonly Target[] {
        if (assigned.length <= MAX_POLLS_PER_ROUND) {
            return assigned;
        }
        const start = this.roundOffset;
        this.roundOffset = (start + MAX_POLLS_PER_ROUND) % assigned.length;
        return [...assigned, ...assigned].slice(start, start + MAX_POLLS_PER_ROUND);
    }

    /** Polls one target, unless a poll of it is still in flight. */
    private async poll(target: Target): Promise<void> {
        if (this.inFlightTargetIds.has(target.id)) {
            return;
        }
        this.inFlightTargetIds.add(target.id);
        const onReport = this.opts.onPollStart(target);
        try {
            const signal = AbortSignal.any([this.opts.signal, AbortSignal.timeout(POLL_TIMEOUT_MS)]);
            const response = await request(`http://${target.id}/load`, { dispatcher: this.agent, signal });
            const text = await readBounded(response.body);
            const report = loadReportSchema.safeParse(JSON.parse(text));
            if (response.statusCode === 200 && report.success) {
                onReport(report.data);
            }
        }
        catch {
            // A failed poll does not count against the target: the outcome of requests shows whether it works.
        }
        finally {
            this.inFlightTargetIds.delete(target.id);
        }
    }
}

async function readBounded(body: AsyncIterable<Buffer>): Promise<string> {
    let text = "";
    for await (const chunk of body) {
        text += chunk.toString();
        if (text.length > MAX_REPORT_BYTES) {
            throw new Error("the load report exceeds the size limit");
        }
    }
    return text;
}

/** Weight of a host in rendezvous hashing: adding or removing a host does not reorder the others. */
function rankOf(hostId: string, targetId: string): string {
    return createHash("sha256").update(`${hostId} ${targetId}`).digest("hex");
}
