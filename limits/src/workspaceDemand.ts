interface PeerReport {
    readonly demand: number;
    readonly share: number;
    readonly receivedAt: number;
}

const DECAY_TIME_CONSTANT_MS = 1_000;
const MS_PER_SECOND = 1_000;
const REPORT_LIFETIME_MS = 2_500;
/** Below this the rest of an old measurement counts as no demand, in requests per second. */
const MIN_DEMAND_PER_SECOND = 0.02;

/** Requests per second of one workspace that arrive at this host and, as far as known, at the others. */
export class WorkspaceDemand {
    private rateAtUpdate = 0;
    private updatedAt = 0;
    private readonly peers = new Map<string, PeerReport>();

    constructor(private readonly now: () => number) {}

    /** Counts one arrival at this host. */
    count(): void {
        this.rateAtUpdate = this.currentRate() + MS_PER_SECOND / DECAY_TIME_CONSTANT_MS;
        this.updatedAt = this.now();
    }

    get own(): number {
        const value = this.currentRate();
        return value < MIN_DEMAND_PER_SECOND ? 0 : value;
    }

    /** Demand of all hosts. */
    get total(): number {
        return [...this.peers.keys()].reduce((sum, hostId) => sum + this.demandOf(hostId), this.own);
    }

    demandOf(hostId: string): number {
        return this.reportOf(hostId)?.demand ?? 0;
    }

    /** Share of the limit that a host owns; `assumed` while it has not told. */
    shareOf(hostId: string, assumed: number): number {
        return this.reportOf(hostId)?.share ?? assumed;
    }

    /** Takes what a peer says about itself. */
    recordReport(hostId: string, demand: number, share: number): void {
        this.peers.set(hostId, { demand, share, receivedAt: this.now() });
    }

    private reportOf(hostId: string): PeerReport | undefined {
        const report = this.peers.get(hostId);
        return report !== undefined && this.now() - report.receivedAt < REPORT_LIFETIME_MS ? report : undefined;
    }

    private currentRate(): number {
        return this.rateAtUpdate * Math.exp((this.updatedAt - this.now()) / DECAY_TIME_CONSTANT_MS);
    }
}
