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
    /** Source address of load polls. */
    readonly localAddress: string;
    /** Monotonic time in ms. */
    readonly now: () => number;
}

/** Wires up the steering of one host: request queue, choice of target, load exchange with peers and load polling. */
export class HostSteering {
    /** Queue through which all requests of this host get a slot of a target. */
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
                this.applyInventory(state.configuration?.targets ?? []);
            }
            if (name === "plan") {
                this.applyPlan(state.documentOf("plan")?.content ?? "");
            }
        });
    }

    /** Progress of the drains and returns of traffic that are under way. */
    get shiftProgress(): ReturnType<ShiftSchedule["progress"]> {
        return this.shifts.progress();
    }

    /** Polls the load of targets and runs the permit and shift loops until the signal aborts. */
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
                const polledAt = now();
                const known = this.statistics.knownRunningOn(target.id);
                return report => this.statistics.recordReport(target, report, polledAt, known);
            },
        }).run();
    }

    /** Ids of the hosts that own equal parts of a region's permits: the hosts of the region, or all if it has none. */
    private ownersOf(region: string): string[] {
        const { hosts } = this.opts.state;
        const regionHosts = hosts.filter(host => host.region === region);
        return (regionHosts.length > 0 ? regionHosts : hosts).map(host => host.id);
    }

    /** Permits of the region that this host owns; 0 if it is not an owner or has no configuration yet. */
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

    /** Applies a plan of shifts; an invalid one is ignored, so the previous plan stays in force. */
    private applyPlan(content: string): void {
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

    /** Replaces the known targets, drops the observed condition of removed ones and dispatches queued requests. */
    private applyInventory(targets: readonly Target[]): void {
        this.targetsById = new Map(targets.map(target => [target.id, target]));
        this.statistics.applyInventory(targets);
        this.queue.dispatchWaiting();
    }
}
