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

interface Permits {
    hasPermit(region: string): boolean;
    /** Whether a permit may come soon, so that a request should wait for it. */
    canRequest(region: string): boolean;
    /** Takes a permit; returns the function that gives it back. */
    acquire(region: string): (() => void) | undefined;
    requestPermits(region: string): void;
}

interface FairTargetQueueOptions<T> {
    readonly chooser: TargetChooser;
    readonly slots: SlotUsage;
    /** Targets of a service in the configuration in force. */
    readonly targetsOf: (service: string) => readonly T[];
    /** Monotonic time in ms. */
    readonly now: () => number;
    /** Requests of one workspace that may wait for one service. */
    readonly maxWaitingPerWorkspace?: number;
    /** Permits that requests need to run in a region; none are needed by default. */
    readonly permits?: Permits;
    /** Share of its usual traffic that a target gets; 1 by default. */
    readonly shareOf?: (target: T) => number;
    /** Whether a target belongs to those that the reserve of slots is kept on; all do by default. */
    readonly isNear?: (target: T) => boolean;
    /** Share of the targets' slots that are free, from 0 to 1; by own counts by default. */
    readonly freeShare?: (targets: readonly T[]) => number;
    /** Part of the slots that a workspace is entitled to, relative to others, for example its rate; 1 by default. */
    readonly weightOf?: (workspace: string) => number;
    readonly onDispatch?: (target: T) => void;
    readonly onOutcome?: (target: T, outcome: SlotOutcome) => void;
}

interface Waiter<T> {
    readonly request: SlotRequest;
    readonly workspace: string;
    /** Position in the traffic, from 0 to 1: a target that gets a smaller share of it is not for this request. */
    readonly position: number;
    readonly settle: (result: Result<SlotGrant<T>, Failure>) => void;
}

interface ServiceQueue<T> {
    readonly waiting: FairQueue<Waiter<T>>;
    readonly costs: SlotCosts;
    /** Requests that this host has running, by workspace. */
    readonly running: Map<string, number>;
}

const DEFAULT_MAX_WAITING = 256;
/** Peers' counts and backoffs lapse by time, without an event. */
const LAPSE_CHECK_MS = 50;
/**
 * A workspace that holds more than its part of the running requests leaves this share of the slots free. Without it,
 * one busy workspace keeps every slot taken, and each request of the others waits for a slot to become free.
 */
const RESERVED_SHARE = 0.2;
/** Requests on open routes share one queue. */
const OPEN_WORKSPACE = "";

/** Lets requests wait in a fair queue for each service; a request is placed as soon as a target can take it. */
export class FairTargetQueue<T extends ServingTarget> implements TargetQueue<T> {
    private readonly queues = new Map<string, ServiceQueue<T>>();
    private lapseTimer: NodeJS.Timeout | undefined;

    constructor(private readonly opts: FairTargetQueueOptions<T>) {}

    /** Requests that wait for a service. */
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
                request.signal.removeEventListener("abort", leave);
                remove?.();
                resolve(result);
            };
            const leave = () => settle(err(new Failure("deadlineInQueue")));
            const timer = setTimeout(leave, timeLeftMs);
            const position = { workspace, priority: request.priority, cost: costs.costOf(workspace) };
            const remove = waiting.push({ request, workspace, position: Math.random(), settle }, position);
            if (remove === undefined) {
                settle(err(new Failure("queueFull")));
                return;
            }
            request.signal.addEventListener("abort", leave);
            this.place(request.service);
        });
    }

    /** Places waiting requests; to be called when a target may have become able to take one. */
    dispatchWaiting(): void {
        for (const service of this.queues.keys()) {
            this.place(service);
        }
    }

    private queueOf(service: string): ServiceQueue<T> {
        let queue = this.queues.get(service);
        if (queue === undefined) {
            const maxPerWorkspace = this.opts.maxWaitingPerWorkspace ?? DEFAULT_MAX_WAITING;
            queue = { waiting: new FairQueue({ maxPerWorkspace }), costs: new SlotCosts(), running: new Map() };
            this.queues.set(service, queue);
        }
        return queue;
    }

    private place(service: string): void {
        const queue = this.queueOf(service);
        const { waiting } = queue;
        const live = this.opts.targetsOf(service).filter(target => target.state === "live");
        while (waiting.take(waiter => this.offer(waiter, live, queue))) {
            // Each turn places one request.
        }
        if (waiting.length > 0) {
            this.checkForLapses();
        }
    }

    private offer(waiter: Waiter<T>, live: readonly T[], queue: ServiceQueue<T>): TakeResult {
        const { excluded, avoidedZones } = waiter.request;
        const candidates = excluded.size === 0 ? live : live.filter(target => !excluded.has(target.id));
        if (candidates.length === 0) {
            waiter.settle(err(new Failure("noTarget")));
            return "taken";
        }
        const staying = this.withoutReserve(this.withoutMoved(candidates, waiter.position), waiter.workspace, queue);
        const elsewhere = avoidedZones && staying.filter(target => !avoidedZones.has(target.availabilityZone));
        const target = this.chooseWithPermit(elsewhere ?? []) ?? this.chooseWithPermit(staying);
        const givePermitBack = target && (this.opts.permits?.acquire(target.region) ?? (() => {}));
        if (target === undefined || givePermitBack === undefined) {
            return excluded.size === 0 && !this.isOverItsPart(waiter.workspace, queue) ? "exhausted" : "skipped";
        }
        waiter.settle(ok(this.grant(target, waiter, queue, givePermitBack)));
        return "taken";
    }

    /** Leaves out targets that this request has moved away from, unless there are no others. */
    private withoutMoved(candidates: readonly T[], position: number): readonly T[] {
        const { shareOf } = this.opts;
        if (shareOf === undefined) {
            return candidates;
        }
        const staying = candidates.filter(target => position < shareOf(target));
        return staying.length > 0 ? staying : candidates;
    }

    /** If the best target is in a region without a permit, asks for one and chooses nothing for now. */
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
        givePermitBack: () => void,
    ): SlotGrant<T> {
        const giveBack = this.opts.slots.acquire(target.id);
        running.set(workspace, (running.get(workspace) ?? 0) + 1);
        this.opts.onDispatch?.(target);
        let isReleased = false;
        const release = (outcome: SlotOutcome) => {
            if (isReleased) {
                return;
            }
            isReleased = true;
            giveBack();
            givePermitBack();
            decrement(running, workspace);
            costs.record(workspace, outcome.latencyMs);
            this.opts.onOutcome?.(target, outcome);
            this.place(request.service);
        };
        return { target, release };
    }

    /** Leaves out near targets for a workspace that has to leave the reserve free; it can still use others. */
    private withoutReserve(candidates: readonly T[], workspace: string, queue: ServiceQueue<T>): readonly T[] {
        const isNear = this.opts.isNear ?? (() => true);
        if (!this.isOverItsPart(workspace, queue) || this.freeShare(candidates.filter(isNear)) > RESERVED_SHARE) {
            return candidates;
        }
        return candidates.filter(target => !isNear(target));
    }

    private isOverItsPart(workspace: string, { running }: ServiceQueue<T>): boolean {
        const weightOf = (name: string) => this.opts.weightOf?.(name) ?? 1;
        const others = sum([...running.keys()].filter(name => name !== workspace).map(weightOf));
        const part = weightOf(workspace) / (weightOf(workspace) + others);
        // One request more than the part is no sign of a busy workspace where few are running.
        return others > 0 && (running.get(workspace) ?? 0) - 1 > part * sum([...running.values()]);
    }

    private freeShare(live: readonly T[]): number {
        const free = (target: T) => Math.max(0, target.slots - this.opts.slots.runningOn(target.id));
        return this.opts.freeShare?.(live) ?? sum(live.map(free)) / sum(live.map(target => target.slots));
    }

    private checkForLapses(): void {
        this.lapseTimer ??= setTimeout(() => {
            this.lapseTimer = undefined;
            this.dispatchWaiting();
        }, LAPSE_CHECK_MS);
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
