import type { ColdTargetLimiter } from "./coldTargetLimiter.js";
import type { PlacementChoice } from "./placementChoice.js";
import type { PlacementRequest } from "./placementRequest.js";
import type { ProcessingTimes } from "./processingTimes.js";
import { RendezvousRanking } from "./rendezvousRanking.js";
import type { Target } from "./target.js";
import type { TargetHealth } from "./targetHealth.js";
import type { TargetLoads } from "./targetLoads.js";
import type { TargetRegistry } from "./targetRegistry.js";
import type { WarmObjects } from "./warmObjects.js";

interface PlacementOptions {
    readonly availabilityZone: string;
    readonly region: string;
    readonly registry: TargetRegistry;
    readonly loads: TargetLoads;
    readonly warm: WarmObjects;
    readonly health: TargetHealth;
    readonly times: ProcessingTimes;
    readonly cold: ColdTargetLimiter;
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
    /** Requests at the target, as far as is known. */
    readonly load: number;
    /** Expected time plus what the choice costs others, in ms. */
    readonly cost: number;
}

/** Round trips to a target, in ms, by how far away it is. */
const ZONE_ROUND_TRIP_MS = 1;
const REGION_ROUND_TRIP_MS = 3;
const FAR_ROUND_TRIP_MS = 35;
/** Requests of this size stay in the region, as the links between regions are shared by all traffic. */
const LARGE_BODY_BYTES = 16 * 1024;
/** Requests wait for a warm target with up to this many requests for each slot before a second one becomes warm. */
const PATIENT_LOAD_SHARE = 2;
/** Requests are refused when their warm target has this many requests for each slot. */
const MAX_LOAD_SHARE = 3.5;
/** Share of the requests for a warm object that go to a cold home which remembers far fewer objects. */
const MOVE_SHARE = 0.1;
const MOVE_FACTOR = 2;
/** A second home takes over from a busy first one. */
const MAX_HOMES = 2;
/** A cold home takes over from a busy warm one while less than this share of its slots is taken. */
const IDLE_SHARE = 0.5;
const COLD_TARGET_FACTOR = 2;
/** A target that has just refused a request has a full queue: this many requests for each slot. */
const FULL_LOAD_SHARE = 4;
/** Part of the mean time that a quick request takes. */
const QUICK_SHARE = 0.6;
/** Refused callers come back after one to two times this time. */
const RETRY_AFTER_MS = 300;

/** Chooses a target for each request by the time in which it is expected to answer. */
export class Placement {
    private readonly ranking: RendezvousRanking;
    private rankedRevision = -1;
    private readonly random: () => number;

    constructor(private readonly opts: PlacementOptions) {
        this.random = opts.random ?? Math.random;
        this.ranking = new RendezvousRanking(opts.region);
    }

    choose(request: PlacementRequest): PlacementChoice {
        const allowed = this.allowedTargets(request);
        const { object } = request;
        if (!allowed.some(target => this.isAvailable(target, request))) {
            return this.refuse("noTarget");
        }
        const chosen = object === undefined
            ? this.cheapest(this.assess(allowed, request))
            : this.chooseForObject(object, allowed, request);
        if (chosen === undefined || chosen.leastMs > request.deadlineAt - this.opts.now()) {
            return this.refuse("noRoom");
        }
        const { target, isWarm, expectedMs, baseMs } = chosen;
        return { target, isWarm, expectedMs, baseMs };
    }

    /**
     * An object is handled where it is warm, even if its requests have to wait there: work on a cold object takes a
     * multiple of the time, so that spreading an overload would make it larger.
     */
    private chooseForObject(
        object: string,
        allowed: readonly Target[],
        request: PlacementRequest,
    ): Candidate | undefined {
        const timeLeftMs = request.objectiveAt - this.opts.now();
        const homes = this.firstAvailable(this.homesOf(object, request, allowed), request);
        const [home, second] = this.assess(homes, request);
        const warm = this.assess(allowed.filter(target => this.opts.warm.isWarm(target, object)), request);
        if (warm.length === 0 || home === undefined) {
            return home;
        }
        const best = this.cheapest(warm);
        if (best.expectedMs <= timeLeftMs || best.load < best.target.slots * PATIENT_LOAD_SHARE) {
            return !home.isWarm && this.shouldMove(best.target, home.target) ? home : best;
        }
        const cold = [home, second].find(candidate => candidate?.isWarm === false);
        if (cold !== undefined && cold.load < cold.target.slots * IDLE_SHARE) {
            return cold;
        }
        return best.load < best.target.slots * MAX_LOAD_SHARE ? best : undefined;
    }

    private refuse(refusal: "noTarget" | "noRoom"): PlacementChoice {
        return { refusal, retryAfterMs: RETRY_AFTER_MS * (1 + this.random()) };
    }

    /** Moves an object now and then to a home that remembers far fewer, such as a target that has just joined. */
    private shouldMove(from: Target, to: Target): boolean {
        const { warm } = this.opts;
        return warm.countFor(to) * MOVE_FACTOR < warm.countFor(from) && this.random() < MOVE_SHARE;
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
        const usable = this.opts.registry.usableTargets(service);
        return regions === undefined ? usable : usable.filter(({ region }) => regions.includes(region));
    }

    private isAvailable(target: Target, { excluded }: PlacementRequest): boolean {
        const { registry, health, cold } = this.opts;
        if (excluded.has(target.id) || health.isBlocked(target)) {
            return false;
        }
        return !(registry.isCold(target) || health.isPresumedCold(target)) || cold.canSend(target);
    }

    /** The first targets of a ranking that are available, as many as an object may be handled at. */
    private firstAvailable(ranked: readonly Target[], request: PlacementRequest): Target[] {
        const found: Target[] = [];
        for (const target of ranked) {
            if (this.isAvailable(target, request) && found.push(target) === MAX_HOMES) {
                break;
            }
        }
        return found;
    }

    /** What each available one of the targets would cost. */
    private assess(targets: readonly Target[], request: PlacementRequest): Candidate[] {
        const estimate = this.opts.times.estimate(request);
        return targets.filter(target => this.isAvailable(target, request))
            .map(target => this.assessOne(target, request, estimate));
    }

    private assessOne(
        target: Target,
        { object, objectiveMs }: PlacementRequest,
        { warm: warmTime, cold: coldTime, meanMs }: ReturnType<ProcessingTimes["estimate"]>,
    ): Candidate {
        const { registry, loads, warm, health } = this.opts;
        const isWarm = object !== undefined && warm.isWarm(target, object);
        const { expectedMs: baseMs, measuredMs } = isWarm ? warmTime : coldTime;
        const slowness = health.latencyRatio(target) * (registry.isCold(target) ? COLD_TARGET_FACTOR : 1);
        const load = loads.isFull(target.id) ? FULL_LOAD_SHARE * target.slots : loads.loadOf(target.id);
        const ahead = Math.max(0, load + 1 - target.slots);
        const waitMs = ahead / target.slots * meanMs * slowness;
        const leastMs = waitMs + measuredMs * QUICK_SHARE;
        const expectedMs = this.roundTripMs(target) + waitMs + baseMs * slowness;
        const cost = expectedMs + health.errorRate(target) * 2 * objectiveMs;
        return { target, isWarm, expectedMs, baseMs, leastMs, load, cost };
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
