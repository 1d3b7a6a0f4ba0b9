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

const INTERVAL_MS = 1_000;
/** An answer that takes longer than this, in ms, would be out of date. */
const TIMEOUT_MS = 900;
/** Two hosts ask each target, so that the failure of one does not end its reports. */
const ASKERS = 2;
const MAX_REPORT_BYTES = 4_096;
/** Polls a second of one host; bounds its cost when it is the only host of many targets. */
const MAX_POLLS = 200;

/** Asks targets for their load each second until the signal aborts. The targets are spread over the hosts. */
export class LoadPoller {
    private readonly agent: Agent;
    private readonly pending = new Set<string>();
    private offset = 0;

    constructor(private readonly opts: LoadPollerOptions) {
        this.agent = new Agent({
            connections: 1,
            pipelining: 1,
            connect: { localAddress: opts.localAddress, timeout: TIMEOUT_MS },
        });
    }

    async run(): Promise<void> {
        const { signal } = this.opts;
        while (!signal.aborted) {
            const startedAt = performance.now();
            const assigned = this.opts.targets().filter(target => this.isAssigned(target));
            this.opts.onAssigned(assigned.map(target => target.id));
            const round = this.roundOf(assigned);
            for (const target of round) {
                void this.poll(target);
                // Requests spread over the interval cost no peak.
                await sleep(INTERVAL_MS / round.length, undefined, { signal }).catch(() => undefined);
            }
            const restMs = Math.max(1, INTERVAL_MS - (performance.now() - startedAt));
            await sleep(restMs, undefined, { signal }).catch(() => undefined);
        }
        await this.agent.destroy();
    }

    /** Hosts of the target's zone come first; without one the target's region is asked, so that no target is left out. */
    private isAssigned(target: Target): boolean {
        const { self, peers } = this.opts;
        const hosts = [self, ...peers()];
        const near = hosts.filter(host => host.availabilityZone === target.availabilityZone);
        const askers = near.length > 0 ? near : hosts.filter(host => host.region === target.region);
        const ranked = askers.map(({ hostId }) => ({ hostId, rank: rankOf(hostId, target.id) }))
            .sort((a, b) => a.rank < b.rank ? -1 : 1);
        return ranked.slice(0, ASKERS).some(({ hostId }) => hostId === self.hostId);
    }

    private roundOf(assigned: readonly Target[]): readonly Target[] {
        if (assigned.length <= MAX_POLLS) {
            return assigned;
        }
        const start = this.offset;
        this.offset = (start + MAX_POLLS) % assigned.length;
        return [...assigned, ...assigned].slice(start, start + MAX_POLLS);
    }

    private async poll(target: Target): Promise<void> {
        if (this.pending.has(target.id)) {
            return;
        }
        this.pending.add(target.id);
        const take = this.opts.onPollStart(target);
        try {
            const signal = AbortSignal.any([this.opts.signal, AbortSignal.timeout(TIMEOUT_MS)]);
            const response = await request(`http://${target.id}/load`, { dispatcher: this.agent, signal });
            const text = await readBounded(response.body);
            const report = loadReportSchema.safeParse(JSON.parse(text));
            if (response.statusCode === 200 && report.success) {
                take(report.data);
            }
        }
        catch {
            // A missing report counts for nothing; requests show whether the target works.
        }
        finally {
            this.pending.delete(target.id);
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
