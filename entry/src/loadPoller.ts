import type { Target } from "@pistachioreel/config";
import type { PeerIdentity } from "@pistachioreel/peering";
import { type LoadReport, loadReportSchema } from "@pistachioreel/steering";
import { createHash } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import { Agent, request } from "undici";

interface LoadPollerOptions {
    readonly self: Omit<PeerIdentity, "incarnation">;
    readonly targets: () => readonly Target[];
    readonly peers: () => readonly PeerIdentity[];
    /** Address from which targets are asked. */
    readonly localAddress: string;
    readonly onAssigned: (targetIds: readonly string[]) => void;
    /** Called before a target is asked; returns the function that takes its report. */
    readonly onPollStart: (target: Target) => (report: LoadReport) => void;
    readonly signal: AbortSignal;
}

const POLL_INTERVAL_MS = 1_000;
/** An answer that takes longer than this, in ms, would be out of date. */
const POLL_TIMEOUT_MS = 900;
/** Two hosts ask each target, so that the failure of one does not end its reports. */
const POLLERS_PER_TARGET = 2;
const MAX_REPORT_BYTES = 4_096;
/** Polls a second of one host; bounds its cost when it is the only host of many targets. */
const MAX_POLLS_PER_ROUND = 200;

/** Asks targets for their load each second until the signal aborts. The targets are spread over the hosts. */
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

    async run(): Promise<void> {
        const { signal } = this.opts;
        while (!signal.aborted) {
            const startedAt = performance.now();
            const assigned = this.opts.targets().filter(target => this.isAssigned(target));
            this.opts.onAssigned(assigned.map(target => target.id));
            const round = this.nextRound(assigned);
            for (const target of round) {
                void this.poll(target);
                // Requests spread over the interval cost no peak.
                await sleep(POLL_INTERVAL_MS / round.length, undefined, { signal }).catch(() => undefined);
            }
            const remainingMs = Math.max(1, POLL_INTERVAL_MS - (performance.now() - startedAt));
            await sleep(remainingMs, undefined, { signal }).catch(() => undefined);
        }
        await this.agent.destroy();
    }

    /** Hosts of the target's zone come first; without one the target's region is asked, so that no target is left out. */
    private isAssigned(target: Target): boolean {
        const { self, peers } = this.opts;
        const hosts = [self, ...peers()];
        const zoneHosts = hosts.filter(host => host.availabilityZone === target.availabilityZone);
        const candidates = zoneHosts.length > 0 ? zoneHosts : hosts.filter(host => host.region === target.region);
        const ranked = candidates.map(({ hostId }) => ({ hostId, rank: rankOf(hostId, target.id) }))
            .sort((a, b) => a.rank < b.rank ? -1 : 1);
        return ranked.slice(0, POLLERS_PER_TARGET).some(({ hostId }) => hostId === self.hostId);
    }

    private nextRound(assigned: readonly Target[]): readonly Target[] {
        if (assigned.length <= MAX_POLLS_PER_ROUND) {
            return assigned;
        }
        const start = this.roundOffset;
        this.roundOffset = (start + MAX_POLLS_PER_ROUND) % assigned.length;
        return [...assigned, ...assigned].slice(start, start + MAX_POLLS_PER_ROUND);
    }

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
            // A missing report counts for nothing; requests show whether the target works.
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
            throw new Error("the load report is too long");
        }
    }
    return text;
}

/** Rendezvous hash: the ranking of the other hosts stays when one host comes or goes. */
function rankOf(hostId: string, targetId: string): string {
    return createHash("sha256").update(`${hostId} ${targetId}`).digest("hex");
}
