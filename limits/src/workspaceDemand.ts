interface PeerReport {
    /** Requests per second. */
    readonly demand: number;
    readonly share: number;
    /** Monotonic time in ms. */
    readonly receivedAt: number;
}

const DEMAND_TIME_CONSTANT_MS = 1_000;
const MS_PER_SECOND = 1_000;
const REPORT_LIFETIME_MS = 2_500;
/** Rates below this, which remain of requests long ago, count as no demand. */
const MIN_DEMAND_PER_SECOND = 0.02;

/** Requests per second of one workspace: measured at this host, and as last reported by the others. */
export class WorkspaceDemand {
    private rateAtUpdate = 0;
    private updatedAt = 0;
    private readonly peers = new Map<string, PeerReport>();

    constructor(private readonly now: () => number) {}

    /** Counts a request that arrived at this host. */
    count(): void {
        this.rateAtUpdate = this.currentRate() + MS_PER_SECOND / DEMAND_TIME_CONSTANT_MS;
        this.updatedAt = this.now();
    }

    /** Demand at this host, in requests per second. */
    get own(): number {
        const value = this.currentRate();
        return value < MIN_DEMAND_PER_SECOND ? 0 : value;
    }

    /** Demand at all hosts together, in requests per second. */
    get total(): number {
        return [...this.peers.keys()].reduce((sum, hostId) => sum + this.demandOf(hostId), this.own);
    }

    /** Demand at another host, in requests per second; 0 if it has not reported recently. */
    demandOf(hostId: string): number {
        return this.reportOf(hostId)?.demand ?? 0;
    }

    /** Share of the limit that a host owns; `assumed` if it has not reported recently. */
    shareOf(hostId: string, assumed: number): number {
        return this.reportOf(hostId)?.share ?? assumed;
    }

    /** Records a peer's report on its own demand, in requests per second, and share. */
    recordReport(hostId: string, demand: number, share: number): void {
        this.peers.set(hostId, { demand, share, receivedAt: this.now() });
    }

    private reportOf(hostId: string): PeerReport | undefined {
        const report = this.peers.get(hostId);
        return report !== undefined && this.now() - report.receivedAt < REPORT_LIFETIME_MS ? report : undefined;
    }

    private currentRate(): number {
        return this.rateAtUpdate * Math.exp((this.updatedAt - this.now()) / DEMAND_TIME_CONSTANT_MS);
    }
}
