import type { ColdAdmission } from "./coldAdmission.js";
import { HomeRanking } from "./homeRanking.js";
import type { PlacementChoice } from "./placementChoice.js";
import type { PlacementRequest } from "./placementRequest.js";
import type { Target } from "./target.js";
import type { TargetHealth } from "./targetHealth.js";
import type { TargetLoads } from "./targetLoads.js";
import type { TargetRegistry } from "./targetRegistry.js";
import type { WarmObjects } from "./warmObjects.js";
import type { WorkTimes } from "./workTimes.js";

interface PlacementOptions {
    readonly availabilityZone: string;
    readonly region: string;
    readonly registry: TargetRegistry;
    readonly loads: TargetLoads;
    readonly warm: WarmObjects;
    readonly health: TargetHealth;
    readonly times: WorkTimes;
    readonly cold: ColdAdmission;
    /** Monotonic time in ms. */
    readonly now: () => number;
    readonly random?: () => number;
}

interface Candidate {
    readonly target: Target;
    readonly isWarm: boolean;
    readonly expectedMs: number;
    readonly baseMs: number;
    /** Time that the request takes even if its work is quick, in ms. */
    readonly leastMs: number;
    /** Expected time plus what the choice costs others, in ms. */
    readonly cost: number;
}

/** Round trips to a target, in ms, by how far away it is. */
const ZONE_ROUND_TRIP_MS = 1;
const REGION_ROUND_TRIP_MS = 3;
const FAR_ROUND_TRIP_MS = 35;
/** Requests of this size stay in the region, as the links between regions are shared by all traffic. */
const LARGE_BODY_BYTES = 16 * 1024;
/** Targets of each object on which hosts agree; work elsewhere pushes other objects out of a target's memory. */
const HOMES = 2;
const FOREIGN_COST_SHARE = 0.5;
/** Share of the requests for a warm object that go to its cold home, so that the home becomes warm. */
const HOME_WARMING_SHARE = 0.1;
const COLD_TARGET_FACTOR = 2;
/** Part of the mean time that a quick request takes. */
const QUICK_SHARE = 0.6;
const MIN_RETRY_AFTER_MS = 100;

/** Chooses a target for each request by the time in which it is expected to answer. */
export class Placement {
    private readonly ranking = new HomeRanking();
    private rankedRevision = -1;
    private readonly random: () => number;

    constructor(private readonly opts: PlacementOptions) {
        this.random = opts.random ?? Math.random;
    }

    choose(request: PlacementRequest): PlacementChoice {
        const allowed = this.allowedTargets(request);
        const candidates = allowed.filter(target => this.isAvailable(target, request))
            .map((target): Candidate => this.assess(target, request));
        if (candidates.length === 0) {
            return { refusal: "noTarget", retryAfterMs: MIN_RETRY_AFTER_MS };
        }
        const chosen = request.object === undefined
            ? this.cheapest(candidates)
            : this.chooseForObject(candidates, this.homesOf(request.object, request, allowed), request);
        const timeLeftMs = request.deadlineAt - this.opts.now();
        // Only what has been measured may refuse a request: an assumed time can be far off.
        if (chosen.leastMs > timeLeftMs) {
            const retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, chosen.leastMs - timeLeftMs);
            return { refusal: "noRoom", retryAfterMs };
        }
        const { target, isWarm, expectedMs, baseMs } = chosen;
        return { target, isWarm, expectedMs, baseMs };
    }

    /** The home takes a request as long as it can answer in time, so that the object stays warm in few places. */
    private chooseForObject(
        candidates: readonly Candidate[],
        homes: readonly Target[],
        request: PlacementRequest,
    ): Candidate {
        const timeLeftMs = request.objectiveAt - this.opts.now();
        const home = candidates.find(({ target }) => target === homes[0]);
        if (home !== undefined && home.expectedMs <= timeLeftMs) {
            return home;
        }
        if (home !== undefined && !home.isWarm && this.random() < HOME_WARMING_SHARE) {
            return home;
        }
        const isHome = (target: Target) => homes.slice(0, HOMES).includes(target);
        const weighed = candidates.map(candidate =>
            candidate.isWarm || isHome(candidate.target)
                ? candidate
                : { ...candidate, cost: candidate.cost * (1 + FOREIGN_COST_SHARE) }
        );
        return this.cheapest(weighed);
    }

    /** Candidates that cost the same are equally good; a random one keeps hosts from choosing the same. */
    private cheapest(candidates: readonly Candidate[]): Candidate {
        const start = Math.floor(this.random() * candidates.length);
        let best = candidates[start] as Candidate;
        for (let i = 1; i < candidates.length; i++) {
            const candidate = candidates[(start + i) % candidates.length] as Candidate;
            best = candidate.cost < best.cost ? candidate : best;
        }
        return best;
    }

    private allowedTargets({ service, regions }: PlacementRequest): readonly Target[] {
        const usable = this.opts.registry.usable(service);
        return regions === undefined ? usable : usable.filter(({ region }) => regions.includes(region));
    }

    private isAvailable(target: Target, { excluded }: PlacementRequest): boolean {
        const { registry, health, cold } = this.opts;
        if (excluded.has(target.id) || health.isBlocked(target)) {
            return false;
        }
        return !(registry.isCold(target) || health.isUnproven(target)) || cold.mayUse(target);
    }

    private assess(target: Target, { service, route, object, objectiveMs }: PlacementRequest): Candidate {
        const { registry, loads, warm, health, times } = this.opts;
        const isWarm = object !== undefined && warm.isWarm(target, object);
        const slowness = health.slowness(target) * (registry.isCold(target) ? COLD_TARGET_FACTOR : 1);
        const baseMs = times.expect({ service, route, isWarm, objectiveMs });
        const ahead = Math.max(0, loads.loadOf(target.id) + 1 - target.slots);
        const waitMs = ahead / target.slots * times.meanOf(service, objectiveMs) * slowness;
        const measuredMs = times.measured({ service, route, isWarm, objectiveMs });
        const leastMs = waitMs + measuredMs * QUICK_SHARE;
        const expectedMs = this.roundTripMs(target) + waitMs + baseMs * slowness;
        const fullMs = loads.isFull(target.id) ? objectiveMs : 0;
        const cost = expectedMs + health.errorShare(target) * 2 * objectiveMs + fullMs;
        return { target, isWarm, expectedMs, baseMs, leastMs, cost };
    }

    private roundTripMs({ availabilityZone, region }: Target): number {
        if (availabilityZone === this.opts.availabilityZone) {
            return ZONE_ROUND_TRIP_MS;
        }
        return region === this.opts.region ? REGION_ROUND_TRIP_MS : FAR_ROUND_TRIP_MS;
    }

    private homesOf(
        object: string,
        { service, regions, bodyBytes }: PlacementRequest,
        allowed: readonly Target[],
    ): readonly Target[] {
        const { registry, region } = this.opts;
        if (this.rankedRevision !== registry.revision) {
            this.ranking.clear();
            this.rankedRevision = registry.revision;
        }
        const near = bodyBytes >= LARGE_BODY_BYTES ? allowed.filter(target => target.region === region) : [];
        const scope = `${service} ${near.length > 0 ? region : regions?.join(" ") ?? ""}`;
        return this.ranking.rank(object, scope, near.length > 0 ? near : allowed);
    }
}
