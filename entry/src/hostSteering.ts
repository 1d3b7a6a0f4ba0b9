import type { Target } from "@pistachioreel/config";
import type { PeerIdentity, PeerMesh } from "@pistachioreel/peering";
import {
    FairTargetQueue,
    LoadExchange,
    NearestLeastLoaded,
    planSchema,
    RegionPermits,
    ShiftSchedule,
    SlotUsage,
    TargetStatistics,
} from "@pistachioreel/steering";
import type { FleetState } from "./fleetState.js";
import { LoadPoller } from "./loadPoller.js";

interface HostSteeringOptions {
    readonly self: PeerIdentity;
    readonly state: FleetState;
    readonly mesh: PeerMesh;
    readonly localAddress: string;
    readonly now: () => number;
}

/** Steering as one host wires it: queue, choice of target, exchange with peers and load polling. */
export class HostSteering {
    readonly queue: FairTargetQueue<Target>;
    private readonly slots = new SlotUsage();
    private readonly statistics: TargetStatistics;
    private readonly permits: RegionPermits;
    private readonly shifts: ShiftSchedule;
    private readonly exchange: LoadExchange;
    private targetsById: ReadonlyMap<string, Target> = new Map();

    constructor(private readonly opts: HostSteeringOptions) {
        const { self, state, mesh, now } = opts;
        const { slots } = this;
        const statistics = this.statistics = new TargetStatistics({ slots, now });
        this.shifts = new ShiftSchedule({
            cap: () => state.configuration?.rules.shift ?? { capShare: 1, intervalMs: 1 },
            now,
            wallNow: Date.now,
        });
        mesh.addHeartbeatPart("shift", this.shifts);
        this.permits = new RegionPermits({
            ...self,
            mesh,
            isUncapped: () => state.configuration?.rules.regions[self.region] === undefined,
            ownedPermits: region => this.ownedPermits(region),
            ownersOf: region => this.ownersOf(region),
            possibleHolders: () =>
                state.hosts.length === 0
                    ? undefined
                    : state.hosts.map(host => host.id).filter(id => id !== self.hostId),
            maxRunMs: () =>
                Math.max(...Object.values(state.configuration?.rules.services ?? {}).map(s => s.deadlineMs)),
            onChange: () => this.queue.dispatchWaiting(),
            now,
        });
        this.queue = new FairTargetQueue<Target>({
            chooser: new NearestLeastLoaded({ ...self, statistics }),
            slots,
            permits: this.permits,
            shareOf: target => this.shifts.shareOf(target),
            targetsOf: service => state.configuration?.targetsOf(service) ?? [],
            isNear: ({ region }) => region === self.region,
            freeShare: targets => statistics.freeShare(targets),
            weightOf: workspace => state.configuration?.rules.workspaces[workspace]?.rate ?? 1,
            onDispatch: target => this.exchange.handleCountChange(target.id),
            onOutcome: (target, outcome) => {
                statistics.recordOutcome(target, outcome);
                if (statistics.isBackedOff(target)) {
                    this.shifts.recordFailure(target.id);
                }
                this.exchange.handleCountChange(target.id);
            },
            now,
        });
        this.exchange = new LoadExchange({
            mesh,
            availabilityZone: self.availabilityZone,
            slots,
            statistics,
            findTarget: id => this.targetsById.get(id),
            onPeerCounts: () => this.queue.dispatchWaiting(),
            now,
        });
        state.onChange(name => {
            if (name === "config") {
                this.takeInventory(state.configuration?.targets ?? []);
            }
            if (name === "plan") {
                this.takePlan(state.documentOf("plan")?.content ?? "");
            }
        });
    }

    /** Drains and returns that are under way. */
    get shiftProgress(): ReturnType<ShiftSchedule["progress"]> {
        return this.shifts.progress();
    }

    /** Asks targets for their load until the signal aborts. */
    async run(signal: AbortSignal): Promise<void> {
        const { self, state, mesh, localAddress, now } = this.opts;
        void this.permits.run(signal);
        void this.shifts.run(signal);
        await new LoadPoller({
            self,
            localAddress,
            signal,
            targets: () => state.configuration?.targets ?? [],
            peers: () => mesh.peers(),
            onAssigned: ids => this.exchange.setPolledTargets(ids),
            onPollStart: target => {
                const askedAt = now();
                const known = this.statistics.knownRunningOn(target.id);
                return report => this.statistics.recordReport(target, report, askedAt, known);
            },
        }).run();
    }

    /** Hosts of the region, or all hosts if it has none, own equal parts of the permits. */
    private ownersOf(region: string): string[] {
        const { hosts } = this.opts.state;
        const near = hosts.filter(host => host.region === region);
        return (near.length > 0 ? near : hosts).map(host => host.id);
    }

    private ownedPermits(region: string): number {
        const { configuration } = this.opts.state;
        const owners = this.ownersOf(region);
        if (configuration === undefined || !owners.includes(this.opts.self.hostId)) {
            return 0;
        }
        const slots = configuration.targets.filter(target => target.region === region && target.state === "live")
            .reduce((sum, target) => sum + target.slots, 0);
        return Math.floor(Math.min(configuration.rules.regions[region]?.maxRunning ?? slots, slots) / owners.length);
    }

    /** A plan that cannot be read changes nothing. */
    private takePlan(content: string): void {
        try {
            const plan = planSchema.safeParse(JSON.parse(content));
            if (plan.success) {
                this.shifts.applyPlan(plan.data);
            }
        }
        catch {
            return;
        }
    }

    private takeInventory(targets: readonly Target[]): void {
        this.targetsById = new Map(targets.map(target => [target.id, target]));
        this.statistics.applyInventory(targets);
        this.queue.dispatchWaiting();
    }
}
