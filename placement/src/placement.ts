import type { TargetCapacities, TargetPaces } from "@pistachioreel/capacity";
import type { ColdTargetLimiter } from "./coldTargetLimiter.js";
import type { PlacementChoice } from "./placementChoice.js";
import type { PlacementRequest } from "./placementRequest.js";
import type { ProcessingTimes } from "./processingTimes.js";
import { RendezvousRanking } from "./rendezvousRanking.js";
import type { Target } from "./target.js";
import type { TargetDescription } from "./targetDescription.js";
import type { TargetHealth } from "./targetHealth.js";
import { targetKey } from "./targetKey.js";
import type { TargetLoads } from "./targetLoads.js";
import type { TargetRateLimits } from "./targetRateLimits.js";
import type { TargetRegistry } from "./targetRegistry.js";
import type { TargetStatements } from "./targetStatements.js";
import type { WarmCapacities } from "./warmCapacities.js";
import type { WarmObjects } from "./warmObjects.js";

interface PlacementOptions {
    readonly availabilityZone: string;
    readonly region: string;
    readonly registry: TargetRegistry;
    readonly loads: TargetLoads;
    readonly warm: WarmObjects;
    readonly warmCapacities: WarmCapacities;
    readonly health: TargetHealth;
    readonly capacities: TargetCapacities;
    readonly paces: TargetPaces;
    readonly times: ProcessingTimes;
    readonly cold: ColdTargetLimiter;
    readonly rateLimits: TargetRateLimits;
    readonly statements: TargetStatements;
    /** Monotonic time in ms. */
    readonly now: () => number;
    /** Random numbers from 0 to below 1; `Math.random` by default. */
    readonly random?: () => number;
}

interface Candidate {
    readonly target: Target;
    readonly isWarm: boolean;
    readonly expectedMs: number;
    readonly baseMs: number;
    /** Lower estimate of the time until the response, in ms. */
    readonly minimumMs: number;
    /** Estimated requests at the target, running and queued. */
    readonly load: number;
    /** Requests that the target runs well at once. */
    readonly capacity: number;
    /** Expected time plus a penalty for the target's error rate, in ms. */
    readonly cost: number;
}

/** Round-trip times to a target by its location. */
const SAME_ZONE_ROUND_TRIP_MS = 1;
const SAME_REGION_ROUND_TRIP_MS = 3;
const OTHER_REGION_ROUND_TRIP_MS = 35;
/** Requests with at least this body size stay in the region, as all traffic shares the links between regions. */
const LARGE_BODY_BYTES = 16 * 1024;
/**
 * Requests queue at a warm target with fewer requests per slot than this, even if they miss their latency objective.
 * Otherwise, those that would miss the objective may go to a target where the object is not warm.
 */
const SPILLOVER_REQUESTS_PER_SLOT = 2;
/** Requests are refused when their warm target has this many requests per slot. */
const MAX_REQUESTS_PER_SLOT = 3.5;
/** Probability that a request for a warm object goes to a cold preferred target that has far fewer warm objects. */
const REBALANCE_PROBABILITY = 0.1;
/** The warm target must have more than this multiple of the preferred target's warm objects. */
const REBALANCE_RATIO = 2;
/** Preferred targets of an object; the second one is used when the first is busy. */
const MAX_TARGETS_PER_OBJECT = 2;
/** A cold preferred target takes over from a busy warm one while less than this share of its slots is in use. */
const SPILLOVER_MAX_SLOT_SHARE = 0.5;
/** Requests are expected to take this many times longer on a cold target. */
const COLD_TARGET_TIME_FACTOR = 2;
/** Assumed requests per slot at a target that has just refused a request because its queue was full. */
const FULL_REQUESTS_PER_SLOT = 4;
/**
 * Refused callers are told to retry after one to two times this time, or the time until a limited target may accept a
 * request, chosen at random to spread the retries.
 */
const MIN_RETRY_AFTER_MS = 300;

/** Chooses a target for each request by its expected response time, preferring targets where the object is warm. */
export class Placement {
    private readonly ranking: RendezvousRanking;
    private rankedRevision = -1;
    private readonly random: () => number;

    constructor(private readonly opts: PlacementOptions) {
        this.random = opts.random ?? Math.random;
        this.ranking = new RendezvousRanking(opts.region);
    }

    /**
     * Chooses a target and takes a token of its limit, if it has one. Refuses if no target is available, if the targets
     * of the object are too busy, or if even the minimum time of the chosen target exceeds the time until the deadline.
     */
    choose(request: PlacementRequest): PlacementChoice {
        const { rateLimits } = this.opts;
        const isCounted = request.isRepeated !== true;
        return this.chooseWithinLimits(
            request,
            target => (isCounted || rateLimits.waitMs(target) === 0) && rateLimits.tryTake(target),
        );
    }

    /** Whether a target could be chosen now. */
    canChoose(request: PlacementRequest): boolean {
        return "target" in this.preview(request);
    }

    /** The choice that would be made now, without taking a token. */
    preview(request: PlacementRequest): PlacementChoice {
        return this.chooseWithinLimits(request, target => this.opts.rateLimits.waitMs(target) === 0);
    }

    /** What is known of all targets of the service, those that are expected to respond first at the start. */
    describe(request: PlacementRequest): TargetDescription[] {
        const { registry, rateLimits, health, paces, warm, warmCapacities } = this.opts;
        const estimate = this.opts.times.estimate(request);
        const allowed = this.allowedTargets(request);
        const { object } = request;
        const ranked = object === undefined ? [] : this.rankedTargets(object, request, allowed);
        return registry.all.filter(({ service }) => service === request.service).map(target => {
            const { id, availabilityZone, region, slots } = target;
            const { isWarm, capacity, load, expectedMs } = this.estimateCandidate(target, request, estimate);
            const { factor: pace, ageMs } = paces.paceOf(targetKey(target));
            const position = ranked.indexOf(target);
            return {
                id,
                availabilityZone,
                region,
                unusable: this.unusableReason(target, request, allowed),
                preference: position === -1 ? undefined : position + 1,
                isWarm,
                warmProbability: isWarm ? warmCapacities.warmProbability(target.service, warm.countFor(target)) : 0,
                slots,
                capacity,
                load,
                pace,
                paceAgeMs: Number.isFinite(ageMs) ? ageMs : null,
                errorRate: health.errorRate(target),
                limitWaitMs: rateLimits.waitMs(target),
                expectedMs,
            };
        }).sort((a, b) =>
            Number(a.unusable !== undefined) - Number(b.unusable !== undefined) || a.expectedMs - b.expectedMs
        );
    }

    private unusableReason(
        target: Target,
        request: PlacementRequest,
        allowed: readonly Target[],
    ): TargetDescription["unusable"] {
        const { registry, health, statements } = this.opts;
        if (target.isDraining) {
            return "draining";
        }
        if (!allowed.includes(target)) {
            return registry.usableTargets(target.service).includes(target) ? "regionNotAllowed" : "evacuated";
        }
        if (this.isAvailable(target, request)) {
            return undefined;
        }
        const waitMs = statements.waitMs(target);
        if (waitMs > 0) {
            return waitMs === Infinity ? "leaving" : "paused";
        }
        return health.isBackedOff(target) ? "backedOff" : "cold";
    }

    /** Passes over targets whose limits leave no request for this host, to the next best target of the object. */
    private chooseWithinLimits(request: PlacementRequest, isWithinLimit: (target: Target) => boolean): PlacementChoice {
        const limited: Target[] = [];
        for (;;) {
            const excluded = limited.length === 0
                ? request.excluded
                : new Set([...request.excluded, ...limited.map(({ id }) => id)]);
            const choice = this.chooseRegardlessOfLimits({ ...request, excluded });
            if ("refusal" in choice) {
                return limited.length === 0 ? choice : this.refuse("noRoom", this.shortestWaitMs(limited));
            }
            if (isWithinLimit(choice.target)) {
                return choice;
            }
            limited.push(choice.target);
        }
    }

    private shortestWaitMs(limited: readonly Target[]): number {
        return Math.min(...limited.map(target => this.opts.rateLimits.waitMs(target)));
    }

    private chooseRegardlessOfLimits(request: PlacementRequest): PlacementChoice {
        const allowed = this.allowedTargets(request);
        const { object } = request;
        if (!allowed.some(target => this.isAvailable(target, request))) {
            return this.chooseForProbe(allowed, request) ?? this.refuse("noTarget", this.shortestPauseMs(allowed));
        }
        const chosen = object === undefined
            ? this.lowestCost(this.estimateCandidates(allowed, request))
            : this.chooseForObject(object, allowed, request);
        const isTooLate = chosen !== undefined && chosen.minimumMs > request.deadlineAt - this.opts.now();
        if (chosen === undefined || isTooLate || this.exceedsShare(chosen, request)) {
            return this.refuse("noRoom");
        }
        const { target, isWarm, expectedMs, baseMs } = chosen;
        return { target, isWarm, expectedMs, baseMs };
    }

    /** While no target accepts requests, one of those that have asked for a long pause is tried once. */
    private chooseForProbe(allowed: readonly Target[], request: PlacementRequest): PlacementChoice | undefined {
        const { statements, times } = this.opts;
        const target = allowed.find(paused => !request.excluded.has(paused.id) && statements.mayProbe(paused));
        if (target === undefined) {
            return undefined;
        }
        const { expectedMs } = times.estimate(request).cold;
        return { target, isWarm: false, expectedMs, baseMs: expectedMs };
    }

    /** Time until the first of the targets that have asked for a pause accepts requests, in ms; 0 if none has. */
    private shortestPauseMs(allowed: readonly Target[]): number {
        const waits = allowed.map(target => this.opts.statements.waitMs(target)).filter(ms => ms > 0 && ms < Infinity);
        return waits.length === 0 ? 0 : Math.min(...waits);
    }

    /**
     * Prefers targets where the object is warm, even if its requests have to queue there. Requests for a cold object
     * take several times longer, so spreading an overload to cold targets would increase it.
     */
    private chooseForObject(
        object: string,
        allowed: readonly Target[],
        request: PlacementRequest,
    ): Candidate | undefined {
        const timeLeftMs = request.objectiveAt - this.opts.now();
        const preferred = this.preferredTargets(this.rankedTargets(object, request, allowed), request);
        const [firstChoice, secondChoice] = this.estimateCandidates(preferred, request);
        const warm = this.estimateCandidates(allowed.filter(target => this.opts.warm.isWarm(target, object)), request);
        if (warm.length === 0 || firstChoice === undefined) {
            return firstChoice;
        }
        const best = this.lowestCost(warm);
        if (best.expectedMs <= timeLeftMs || best.load < best.capacity * SPILLOVER_REQUESTS_PER_SLOT) {
            return !firstChoice.isWarm && this.shouldRebalance(best.target, firstChoice.target) ? firstChoice : best;
        }
        const cold = [firstChoice, secondChoice].find(candidate => candidate?.isWarm === false);
        if (cold !== undefined && cold.load < cold.capacity * SPILLOVER_MAX_SLOT_SHARE) {
            return cold;
        }
        return best.load < best.capacity * MAX_REQUESTS_PER_SLOT ? best : undefined;
    }

    /** Whether so many requests are at the target that the rest of its slots and queue is left to requests of higher ranks. */
    private exceedsShare({ load, capacity }: Candidate, { capacityShare = 1 }: PlacementRequest): boolean {
        return capacityShare < 1 && load >= capacity * MAX_REQUESTS_PER_SLOT * capacityShare;
    }

    private refuse(refusal: "noTarget" | "noRoom", waitMs = 0): PlacementChoice {
        return { refusal, retryAfterMs: Math.max(waitMs, MIN_RETRY_AFTER_MS) * (1 + this.random()) };
    }

    /**
     * Occasionally moves an object to a preferred target with far fewer warm objects, such as a new one, or from one that cannot keep all
     * of its objects warm to one that can.
     */
    private shouldRebalance(from: Target, to: Target): boolean {
        const { warm } = this.opts;
        const isFarBelow = warm.countFor(to) * REBALANCE_RATIO < warm.countFor(from);
        return (isFarBelow || !this.keepsAnother(from) && this.keepsAnother(to)) &&
            this.random() < REBALANCE_PROBABILITY;
    }

    /** Whether the target would keep another object warm without losing one. */
    private keepsAnother(target: Target): boolean {
        return this.opts.warm.countFor(target) < this.opts.warmCapacities.capacityOf(target.service);
    }

    /** Breaks ties at random, so that hosts do not all choose the same target. */
    private lowestCost(candidates: readonly Candidate[]): Candidate {
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
        const { registry, health, cold, statements, loads } = this.opts;
        const running = loads.running.get(target.id) ?? 0;
        if (excluded.has(target.id) || health.isBackedOff(target) || !statements.accepts(target, running)) {
            return false;
        }
        return !(registry.isCold(target) || health.isPresumedCold(target)) || cold.canSend(target);
    }

    /**
     * The first available targets of a ranking, up to `MAX_TARGETS_PER_OBJECT`, that keep the object warm without losing another. If there
     * are none, the first available ones. A full target is passed over for one in the same region only, so that regions keep their shares.
     */
    private preferredTargets(ranked: readonly Target[], request: PlacementRequest): Target[] {
        const { object = "" } = request;
        const keeping: Target[] = [];
        const saturated: Target[] = [];
        let region: string | undefined;
        for (const target of ranked) {
            if (!this.isAvailable(target, request)) {
                continue;
            }
            region ??= target.region;
            const isNear = keeping.length > 0 || target.region === region;
            const keeps = isNear && (this.opts.warm.isWarm(target, object) || this.keepsAnother(target));
            if (keeps && keeping.push(target) === MAX_TARGETS_PER_OBJECT) {
                break;
            }
            if (!keeps && saturated.length < MAX_TARGETS_PER_OBJECT) {
                saturated.push(target);
            }
        }
        return keeping.length > 0 ? keeping : saturated;
    }

    /** Estimates time, load and cost of each target that is available. */
    private estimateCandidates(targets: readonly Target[], request: PlacementRequest): Candidate[] {
        const estimate = this.opts.times.estimate(request);
        return targets.filter(target => this.isAvailable(target, request))
            .map(target => this.estimateCandidate(target, request, estimate));
    }

    private estimateCandidate(
        target: Target,
        { object, objectiveMs }: PlacementRequest,
        { warm: warmTime, cold: coldTime, meanMs }: ReturnType<ProcessingTimes["estimate"]>,
    ): Candidate {
        const { registry, loads, warm, health, warmCapacities, capacities, paces } = this.opts;
        const isWarm = object !== undefined && warm.isWarm(target, object);
        const warmProbability = isWarm ? warmCapacities.warmProbability(target.service, warm.countFor(target)) : 0;
        const baseMs = warmProbability * warmTime.expectedMs + (1 - warmProbability) * coldTime.expectedMs;
        const key = targetKey(target);
        const capacity = capacities.limitOf(key, target.slots);
        const timeFactor = paces.paceOf(key).factor * (registry.isCold(target) ? COLD_TARGET_TIME_FACTOR : 1);
        const load = loads.isFull(target.id) ? FULL_REQUESTS_PER_SLOT * target.slots : loads.loadOf(target.id);
        const queuedAhead = Math.max(0, load + 1 - capacity);
        const waitMs = queuedAhead / capacity * meanMs * timeFactor;
        const minimumMs = waitMs + (isWarm ? warmTime : coldTime).minimumMs;
        const expectedMs = this.roundTripMs(target) + waitMs + baseMs * timeFactor;
        const cost = expectedMs + health.errorRate(target) * 2 * objectiveMs;
        return { target, isWarm, expectedMs, baseMs, minimumMs, load, capacity, cost };
    }

    private roundTripMs({ availabilityZone, region }: Target): number {
        if (availabilityZone === this.opts.availabilityZone) {
            return SAME_ZONE_ROUND_TRIP_MS;
        }
        return region === this.opts.region ? SAME_REGION_ROUND_TRIP_MS : OTHER_REGION_ROUND_TRIP_MS;
    }

    private rankedTargets(
        object: string,
        { service, regions, bodyBytes }: PlacementRequest,
        allowed: readonly Target[],
    ): readonly Target[] {
        const { registry, region } = this.opts;
        if (this.rankedRevision !== registry.revision) {
            this.ranking.clear();
            this.rankedRevision = registry.revision;
        }
        const regional = bodyBytes >= LARGE_BODY_BYTES ? allowed.filter(target => target.region === region) : [];
        const scope = `${service} ${regional.length > 0 ? region : regions?.join(" ") ?? ""}`;
        return this.ranking.rank(object, scope, regional.length > 0 ? regional : allowed);
    }
}
