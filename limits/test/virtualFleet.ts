import { DistributedRateLimiter } from "@pistachioreel/limits";

const STEP_MS = 10;
const HOSTS = 4;
const WAIT_MS = 200;
const LIMITS = { sheets: { rate: 100, burst: 10 } };

interface VirtualHost {
    readonly hostId: string;
    readonly incarnation: string;
    readonly availabilityZone: string;
    readonly limiter: DistributedRateLimiter;
    pausedUntil: number;
    waiting: number[];
}

/**
 * Simulation of hosts with virtual clocks that exchange messages over a faulty network, within one process. The last
 * host is not in the roster at first.
 */
export class VirtualFleet {
    time = 0;
    readonly admittedAt: number[] = [];
    readonly views = Array.from({ length: HOSTS }, (_, index) => ({
        size: HOSTS - 1,
        owns: index < HOSTS - 1,
        isFresh: true,
    }));
    readonly hosts: VirtualHost[] = [];
    private readonly scheduled: { at: number; run: () => void; }[] = [];
    /** Virtual time in ms until which all messages are lost. */
    partitionedUntil = 0;
    private isChanging = false;

    constructor(private readonly network: { loss: number; duplicates: number; maxDelayMs: number; }, seed: number) {
        let state = seed;
        this.random = () => {
            state = Math.imul(state ^ state >>> 15, 0x2c1b3c6d) + 0x9e3779b9 | 0;
            return ((state ^ state >>> 13) >>> 0) / 2 ** 32;
        };
        this.views.forEach((_, index) => this.restart(index));
    }

    readonly random: () => number;

    /** Replaces a host by a new incarnation with another clock offset; messages of the old one still arrive. */
    restart(index: number): void {
        const offset = Math.floor(this.random() * 1e6);
        const self = { hostId: `h${index}`, incarnation: String(this.random()), availabilityZone: "a" };
        const view = this.views[index] as VirtualFleet["views"][number];
        const limiter = new DistributedRateLimiter({
            ...self,
            view: {
                get size() {
                    return view.size;
                },
                ownsShare: () => view.owns && view.isFresh,
            },
            limits: () => LIMITS,
            now: () => this.time + offset,
            random: this.random,
        });
        this.hosts[index] = { ...self, limiter, pausedUntil: 0, waiting: [] };
    }

    /** Adds the last host to the roster or removes it; hosts see the change and its completion at different times. */
    changeRoster(): void {
        if (this.isChanging) {
            return;
        }
        const isAdded = this.views[HOSTS - 1]?.owns === false;
        const scheduleViews = (isComplete: boolean) =>
            this.views.forEach((view, index) =>
                this.scheduleWithin(1_000, () => {
                    view.size = isAdded || !isComplete ? HOSTS : HOSTS - 1;
                    view.owns = index < HOSTS - 1 || (isAdded && isComplete);
                })
            );
        this.isChanging = true;
        scheduleViews(false);
        this.scheduled.push({ at: this.time + 1_000, run: () => scheduleViews(true) });
        this.scheduled.push({ at: this.time + 2_000, run: () => this.isChanging = false });
    }

    request(index: number): void {
        this.hosts[index]?.limiter.workspace("sheets")?.demand.count();
        this.hosts[index]?.waiting.push(this.time + WAIT_MS);
    }

    /** Sum of the rates and capacities that the hosts can use; a paused host uses none. */
    effectiveLimit(): { rate: number; capacity: number; } {
        const sum = { rate: 0, capacity: 0 };
        for (const host of this.hosts.filter(({ pausedUntil }) => pausedUntil <= this.time)) {
            const { rate, capacity } = host.limiter.workspace("sheets")?.effectiveLimit ?? sum;
            sum.rate += rate;
            sum.capacity += capacity;
        }
        return sum;
    }

    step(): void {
        this.time += STEP_MS;
        for (const event of this.scheduled.filter(({ at }) => at <= this.time)) {
            this.scheduled.splice(this.scheduled.indexOf(event), 1);
            event.run();
        }
        for (const host of this.hosts.filter(({ pausedUntil }) => pausedUntil <= this.time)) {
            this.admit(host);
            for (const { to, message } of host.limiter.prepareRequests(this.hosts.filter(other => other !== host))) {
                this.send(to.hostId, owner => {
                    const loan = owner.limiter.handleLoanRequest(host, message);
                    if (loan !== undefined) {
                        this.send(host.hostId, process => process.limiter.handleLoan(owner, loan));
                    }
                });
            }
        }
    }

    private admit(host: VirtualHost): void {
        const limit = host.limiter.workspace("sheets");
        while (host.waiting.length > 0 && limit?.tryTake()) {
            host.waiting.shift();
            this.admittedAt.push(this.time);
        }
        host.waiting = host.waiting.filter(until => until > this.time);
        if (limit !== undefined) {
            limit.waiting = host.waiting.length;
        }
    }

    private send(hostId: string, run: (process: VirtualHost) => void): void {
        const deliver = (): void => {
            const process = this.hosts.find(host => host.hostId === hostId) as VirtualHost;
            if (process.pausedUntil > this.time) {
                this.scheduled.push({ at: process.pausedUntil, run: deliver });
                return;
            }
            run(process);
        };
        const isLost = this.time < this.partitionedUntil || this.random() < this.network.loss;
        const copies = isLost ? 0 : this.random() < this.network.duplicates ? 2 : 1;
        Array.from({ length: copies }, () => this.scheduleWithin(this.network.maxDelayMs, deliver));
    }

    private scheduleWithin(maxDelayMs: number, run: () => void): void {
        this.scheduled.push({ at: this.time + this.random() * maxDelayMs, run });
    }
}
