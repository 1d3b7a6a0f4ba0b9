import { Failure } from "@pistachioreel/result-code";
import { err, ok, type Result } from "neverthrow";
import { FairQueue, type TakeResult } from "./fairQueue.js";
import { SlotCosts } from "./slotCosts.js";
import type { SlotGrant, SlotOutcome } from "./slotGrant.js";
import type { SlotRequest } from "./slotRequest.js";
import type { SlotUsage } from "./slotUsage.js";
import type { TargetCandidate } from "./targetCandidate.js";
import type { TargetChooser } from "./targetChooser.js";
import type { TargetQueue } from "./targetQueue.js";

interface ServingTarget extends TargetCandidate {
    readonly state: "live" | "leaving";
}

/** Permits that limit the running requests of a region. */
interface Permits {
    /** Whether a request may start in the region now. */
    hasPermit(region: string): boolean;
    /** Whether a permit may become available soon, so that waiting for it is worthwhile. */
    canRequest(region: string): boolean;
    /** Acquires a permit. Returns its release function, or `undefined` if there is none. */
    acquire(region: string): (() => void) | undefined;
    /** Requests permits from another host, without waiting for them. */
    requestPermits(region: string): void;
}

interface FairTargetQueueOptions<T> {
    readonly chooser: TargetChooser;
    readonly slots: SlotUsage;
    /** Targets of a service in the configuration in force. */
    readonly targetsOf: (service: string) => readonly T[];
    /** Monotonic time in ms. */
    readonly now: () => number;
    /** Maximum number of requests of one workspace that wait for one service. */
    readonly maxWaitingPerWorkspace?: number;
    /** Permits that requests need to run in a region; none are required by default. */
    readonly permits?: Permits;
    /** Share of its normal traffic that a target receives now, from 0 to 1; 1 by default. */
    readonly shareOf?: (target: T) => number;
    /** Whether the reserve of free slots is kept on a target; true for all by default. */
    readonly isNear?: (target: T) => boolean;
    /** Share of the targets' slots that are free, from 0 to 1; by this host's own requests by default. */
    readonly freeShare?: (targets: readonly T[]) => number;
    /** Weight of a workspace in the division of slots, for example its rate; 1 by default. */
    readonly weightOf?: (workspace: string) => number;
    readonly onDispatch?: (target: T) => void;
    readonly onOutcome?: (target: T, outcome: SlotOutcome) => void;
}

interface Waiter<T> {
    readonly request: SlotRequest;
    readonly workspace: string;
    /** Random number from 0 to 1; the request avoids targets whose traffic share is not above it. */
    readonly trafficPosition: number;
    readonly settle: (result: Result<SlotGrant<T>, Failure>) => void;
}

interface ServiceQueue<T> {
    readonly waiting: FairQueue<Waiter<T>>;
    readonly costs: SlotCosts;
    /** Requests that this host has running, by workspace. */
    readonly running: Map<string, number>;
}

const DEFAULT_MAX_WAITING_PER_WORKSPACE = 256;
/** Interval of the checks while requests wait: peers' counts and backoffs expire without an event. */
const EXPIRY_CHECK_INTERVAL_MS = 50;
/**
 * A workspace with more than its fair share of the running requests must leave this share of the slots free. Without
 * the reserve, one busy workspace occupies every slot, and each request of the others waits for a slot to be released.
 */
const RESERVED_SLOT_SHARE = 0.2;
/** Key of the queue that all requests on open routes share, as they have no workspace. */
const OPEN_WORKSPACE = "";

/** Queues requests fairly for each service and dispatches a request as soon as a target can take it. */
export class FairTargetQueue<T extends ServingTarget> implements TargetQueue<T> {
    private readonly queues = new Map<string, ServiceQueue<T>>();
    private expiryTimer: NodeJS.Timeout | undefined;

    constructor(private readonly opts: FairTargetQueueOptions<T>) {}

    /** Number of requests that wait for a service. */
    waitingFor(service: string): number {
        return this.queues.get(service)?.waiting.length ?? 0;
    }

    acquire(request: SlotRequest): Promise<Result<SlotGrant<T>, Failure>> {
        const timeLeftMs = request.deadlineAt - this.opts.now();
        if (request.signal.aborted || timeLeftMs <= 0) {
            return Promise.resolve(err(new Failure("deadlineInQueue")));
        }
        return new Promise(resolve => {
            const workspace = request.workspace ?? OPEN_WORKSPACE;
            const { waiting, costs } = this.queueOf(request.service);
            const settle = (result: Result<SlotGrant<T>, Failure>) => {
                clearTimeout(timer);
                request.signal.removeEventListener("abort", expire);
                remove?.();
                resolve(result);
            };
            const expire = () => settle(err(new Failure("deadlineInQueue")));
            const timer = setTimeout(expire, timeLeftMs);
            const position = { workspace, priority: request.priority, cost: costs.costOf(workspace) };
            const remove = waiting.push({ request, workspace, trafficPosition: Math.random(), settle }, position);
            if (remove === undefined) {
                settle(err(new Failure("queueFull")));
                return;
            }
            request.signal.addEventListener("abort", expire);
            this.dispatch(request.service);
        });
    }

    /** Dispatches waiting requests; must be called when a target may have become able to take one. */
    dispatchWaiting(): void {
        for (const service of this.queues.keys()) {
            this.dispatch(service);
        }
    }

    private queueOf(service: string): ServiceQueue<T> {
        let queue = this.queues.get(service);
        if (queue === undefined) {
            const maxPerWorkspace = this.opts.maxWaitingPerWorkspace ?? DEFAULT_MAX_WAITING_PER_WORKSPACE;
            queue = { waiting: new FairQueue({ maxPerWorkspace }), costs: new SlotCosts(), running: new Map() };
            this.queues.set(service, queue);
        }
        return queue;
    }

    private dispatch(service: string): void {
        const queue = this.queueOf(service);
        const { waiting } = queue;
        const live = this.opts.targetsOf(service).filter(target => target.state === "live");
        while (waiting.take(waiter => this.offer(waiter, live, queue))) {
            // Each iteration dispatches one request.
        }
        if (waiting.length > 0) {
            this.scheduleExpiryCheck();
        }
    }

    private offer(waiter: Waiter<T>, live: readonly T[], queue: ServiceQueue<T>): TakeResult {
        const { excluded, avoidedZones } = waiter.request;
        const candidates = excluded.size === 0 ? live : live.filter(target => !excluded.has(target.id));
        if (candidates.length === 0) {
            waiter.settle(err(new Failure("noTarget")));
            return "taken";
        }
        const eligible = this.withoutReserve(
            this.withoutShifted(candidates, waiter.trafficPosition),
            waiter.workspace,
            queue,
        );
        const outsideAvoidedZones = avoidedZones
            && eligible.filter(target => !avoidedZones.has(target.availabilityZone));
        const target = this.chooseWithPermit(outsideAvoidedZones ?? []) ?? this.chooseWithPermit(eligible);
        const releasePermit = target && (this.opts.permits?.acquire(target.region) ?? (() => {}));
        if (target === undefined || releasePermit === undefined) {
            return excluded.size === 0 && !this.exceedsFairShare(waiter.workspace, queue) ? "exhausted" : "skipped";
        }
        waiter.settle(ok(this.grant(target, waiter, queue, releasePermit)));
        return "taken";
    }

    /** Excludes targets whose traffic share does not cover this request, unless there are no others. */
    private withoutShifted(candidates: readonly T[], position: number): readonly T[] {
        const { shareOf } = this.opts;
        if (shareOf === undefined) {
            return candidates;
        }
        const eligible = candidates.filter(target => position < shareOf(target));
        return eligible.length > 0 ? eligible : candidates;
    }

    /** Chooses a target. If the best one is in a region without a permit, requests permits and chooses none for now. */
    private chooseWithPermit(candidates: readonly T[]): T | undefined {
        const { permits, chooser } = this.opts;
        if (permits === undefined) {
            return chooser.choose(candidates);
        }
        const target = chooser.choose(
            candidates.filter(({ region }) => permits.hasPermit(region) || permits.canRequest(region)),
        );
        if (target !== undefined && !permits.hasPermit(target.region)) {
            permits.requestPermits(target.region);
            return undefined;
        }
        return target;
    }

    private grant(
        target: T,
        { request, workspace }: Waiter<T>,
        { costs, running }: ServiceQueue<T>,
        releasePermit: () => void,
    ): SlotGrant<T> {
        const releaseSlot = this.opts.slots.acquire(target.id);
        running.set(workspace, (running.get(workspace) ?? 0) + 1);
        this.opts.onDispatch?.(target);
        let isReleased = false;
        const release = (outcome: SlotOutcome) => {
            if (isReleased) {
                return;
            }
            isReleased = true;
            releaseSlot();
            releasePermit();
            decrement(running, workspace);
            costs.record(workspace, outcome.latencyMs);
            this.opts.onOutcome?.(target, outcome);
            this.dispatch(request.service);
        };
        return { target, release };
    }

    /** Excludes near targets for a workspace that must leave the reserve free; it can still use others. */
    private withoutReserve(candidates: readonly T[], workspace: string, queue: ServiceQueue<T>): readonly T[] {
        const isNear = this.opts.isNear ?? (() => true);
        if (
            !this.exceedsFairShare(workspace, queue) || this.freeShare(candidates.filter(isNear)) > RESERVED_SLOT_SHARE
        ) {
            return candidates;
        }
        return candidates.filter(target => !isNear(target));
    }

    private exceedsFairShare(workspace: string, { running }: ServiceQueue<T>): boolean {
        const weightOf = (name: string) => this.opts.weightOf?.(name) ?? 1;
        const otherWeights = sum([...running.keys()].filter(name => name !== workspace).map(weightOf));
        const fairShare = weightOf(workspace) / (weightOf(workspace) + otherWeights);
        // One request above the fair share is tolerated: where few are running, it does not mean a busy workspace.
        return otherWeights > 0 && (running.get(workspace) ?? 0) - 1 > fairShare * sum([...running.values()]);
    }

    private freeShare(live: readonly T[]): number {
        const free = (target: T) => Math.max(0, target.slots - this.opts.slots.runningOn(target.id));
        return this.opts.freeShare?.(live) ?? sum(live.map(free)) / sum(live.map(target => target.slots));
    }

    private scheduleExpiryCheck(): void {
        this.expiryTimer ??= setTimeout(() => {
            this.expiryTimer = undefined;
            this.dispatchWaiting();
        }, EXPIRY_CHECK_INTERVAL_MS);
    }
}

function decrement(counts: Map<string, number>, name: string): void {
    const left = (counts.get(name) ?? 0) - 1;
    if (left > 0) {
        counts.set(name, left);
    }
    else {
        counts.delete(name);
    }
}

function sum(values: readonly number[]): number {
    return values.reduce((total, value) => total + value, 0);
}
