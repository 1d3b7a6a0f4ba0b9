import { err, type Result } from "neverthrow";
import { compareRanks } from "./compareRanks.js";
import { PendingRequest } from "./pendingRequest.js";
import type { QueuedRequest } from "./queuedRequest.js";
import { rankName } from "./rankName.js";
import type { ScheduledRequest } from "./scheduledRequest.js";
import type { ScheduleRefusal } from "./scheduleRefusal.js";
import { ServiceQueue } from "./serviceQueue.js";
import type { StartAttempt } from "./startAttempt.js";
import { StartPass } from "./startPass.js";

interface RequestSchedulerOptions {
    /** Monotonic time in ms. */
    readonly now: () => number;
    /** Maximum number of requests that wait for one service. */
    readonly maxRequests?: number;
    /** Maximum memory in bytes of the requests that wait for all services. */
    readonly maxBytes?: number;
    /** Random numbers from 0 to below 1; `Math.random` by default. */
    readonly random?: () => number;
    /** Weight of a workspace in the division of turns within a rank; 1 by default. */
    readonly weightOf?: (workspace: string | undefined) => number;
}

interface ScheduleOptions<T> {
    readonly start: StartAttempt<T>;
    /** Lower estimate of the time from the start to the response, in ms. */
    readonly minimumMs: number;
    /** Aborts when the caller disconnects. */
    readonly signal: AbortSignal;
    /**
     * Whether the request might start at a target, given by the key that {@link RequestScheduler.handleRoom} is called with; true by
     * default. Called for each waiting request, so it must be cheap.
     */
    readonly canUse?: (target: string) => boolean;
}

const DEFAULT_MAX_REQUESTS = 1_000;
const DEFAULT_MAX_BYTES = 64 * 1024 * 1024;
/** Smaller weights would leave a workspace waiting for thousands of turns of others. */
const MIN_WEIGHT = 0.001;
/**
 * Start attempts that may fail in a row when capacity of a service has become available. Requests for other objects may fit on other
 * targets, so the first failure doesn't show that there is no capacity; each further attempt costs a choice of target.
 */
const MAX_FAILURES = 12;
/** The same for requests that can use a certain target, as they show sooner that it has no capacity. */
const MAX_FAILURES_AT_TARGET = 3;
/**
 * The same for the requests ahead of a new one, before it is tried itself. No capacity is known to have become available, but some may
 * have without an event at this host.
 */
const MAX_FAILURES_ON_ARRIVAL = 2;
/** Further passes after start attempts that all failed but reported new capacity, for example by releasing what they had taken. */
const MAX_REPEATED_PASSES = 1;
/** With fewer requests ahead, the estimated wait depends on chance and rejects no request. */
const MIN_AHEAD_FOR_ESTIMATE = 10;
/** Bounds of the expected wait that `Retry-After` is based on. */
const MIN_RETRY_AFTER_MS = 300;
const MAX_RETRY_AFTER_MS = 5_000;

/**
 * Decides which request of a service is started next while demand exceeds capacity, and rejects those that can't be served in time.
 * Requests wait in memory, bounded in number, bytes and time.
 */
export class RequestScheduler {
    private readonly queues = new Map<string, ServiceQueue>();
    private waitingBytes = 0;
    private isClosed = false;

    constructor(private readonly opts: RequestSchedulerOptions) {}

    /**
     * Resolves once `start` has returned a value, or to a rejection with the time after which to retry; rejects if `start` throws.
     * Starts immediately, without a turn of the event loop, if `start` finds capacity and those whose turns are next find none.
     * The result of {@link expire} may be earlier than before if the request waits.
     */
    schedule<T>(request: ScheduledRequest, opts: ScheduleOptions<T>): Promise<Result<T, ScheduleRefusal>> {
        // Also replaces NaN, which would break the order of the queue.
        const minimumMs = opts.minimumMs > 0 ? opts.minimumMs : 0;
        return new Promise((resolve, reject) => {
            const entry = new PendingRequest(request, { ...opts, minimumMs, resolve, reject });
            if (opts.signal.aborted || this.isClosed) {
                resolve(err(this.refusal("cancelled", MIN_RETRY_AFTER_MS)));
            }
            else if (this.opts.now() >= entry.latestStartAt) {
                resolve(err(this.refusal("infeasible", MIN_RETRY_AFTER_MS)));
            }
            else {
                this.add(entry);
            }
        });
    }

    /**
     * Called when capacity may have become available at a service: starts waiting requests, in order, until a number of attempts in a
     * row has found none. May be called from within a start attempt.
     *
     * @param target Key of the only target at which it has become available. Requests that can't use it aren't tried, so that the first
     * one in order that can use it is found at once.
     */
    handleRoom(service: string, target?: string): void {
        const queue = this.queues.get(service);
        if (queue !== undefined) {
            const maxFailures = target === undefined ? MAX_FAILURES : MAX_FAILURES_AT_TARGET;
            this.dispatch(queue, { maxFailures, target });
        }
    }

    /**
     * Rejects requests that can no longer complete before their deadlines and returns the monotonic time in ms at which to call it next,
     * or `undefined` if none waits. To be called by the owner's timer, and after {@link schedule} to set that timer.
     */
    expire(): number | undefined {
        let nextAt = Infinity;
        for (const [service, queue] of this.queues) {
            this.expireQueue(queue);
            nextAt = Math.min(nextAt, queue.nextExpiryAt);
            if (queue.length === 0 && !queue.isDispatching && queue.startRate.perMs(this.opts.now()) === undefined) {
                this.queues.delete(service);
            }
        }
        return nextAt === Infinity ? undefined : nextAt;
    }

    /** Rejects all waiting requests and those that arrive later, as the host is shutting down. */
    close(): void {
        this.isClosed = true;
        for (const queue of this.queues.values()) {
            for (const entry of [...queue]) {
                this.refuse(queue, entry, "cancelled");
            }
        }
    }

    waitingCounts(): readonly { service: string; rank: string; waiting: number; }[] {
        return [...this.queues].flatMap(([service, queue]) =>
            queue.counts().map(({ rank, waiting }) => ({ service, rank: rankName(rank), waiting }))
        );
    }

    /** Starts a new request, lets it wait, or rejects it or one of a lower rank. */
    private add<T>(entry: PendingRequest<T>): void {
        const queue = this.queueOf(entry.request.service);
        const hasOthers = queue.length > 0;
        queue.insert(entry);
        this.waitingBytes += entry.request.bytes;
        if (queue.isDispatching) {
            queue.hasNewRoom = true;
        }
        else {
            if (hasOthers) {
                this.dispatch(queue, { maxFailures: MAX_FAILURES_ON_ARRIVAL });
            }
            if (entry.isWaiting && entry.attempts === 0) {
                this.dispatchOnly(queue, entry);
            }
        }
        if (entry.isWaiting && entry.isAborted) {
            this.refuse(queue, entry, "cancelled");
        }
        else if (entry.isWaiting && this.isInfeasible(queue, entry)) {
            this.refuse(queue, entry, "infeasible");
        }
        this.enforceLimits(queue, entry);
        if (entry.isWaiting) {
            entry.onAbort(() => this.refuse(queue, entry, "cancelled"));
        }
        queue.startRate.setBusy(this.opts.now(), queue.length > 0);
    }

    private queueOf(service: string): ServiceQueue {
        let queue = this.queues.get(service);
        if (queue === undefined) {
            const weightOf = (workspace: string | undefined) =>
                Math.max(MIN_WEIGHT, this.opts.weightOf?.(workspace) ?? 1);
            queue = new ServiceQueue({ weightOf });
            this.queues.set(service, queue);
        }
        return queue;
    }

    /** Assigns capacity of a service. A call from within a start attempt makes the outer call repeat. */
    private dispatch(queue: ServiceQueue, opts: ConstructorParameters<typeof StartPass>[0]): void {
        if (queue.isDispatching) {
            queue.hasNewRoom = true;
            return;
        }
        queue.isDispatching = true;
        try {
            let [hasStarted, repeatedPasses, passOpts] = [false, 0, opts];
            do {
                queue.hasNewRoom = false;
                hasStarted = this.startInOrder(queue, new StartPass(passOpts));
                passOpts = { maxFailures: MAX_FAILURES };
            }
            while (queue.hasNewRoom && (hasStarted || repeatedPasses++ < MAX_REPEATED_PASSES));
        }
        finally {
            queue.isDispatching = false;
            queue.startRate.setBusy(this.opts.now(), queue.length > 0);
        }
    }

    /** Tries to start one request only. */
    private dispatchOnly(queue: ServiceQueue, entry: QueuedRequest): void {
        queue.isDispatching = true;
        queue.hasNewRoom = false;
        try {
            this.tryStart(queue, entry, false);
        }
        finally {
            queue.isDispatching = false;
        }
        if (queue.hasNewRoom) {
            this.dispatch(queue, { maxFailures: MAX_FAILURES });
        }
    }

    /** Returns whether a request has started. */
    private startInOrder(queue: ServiceQueue, pass: StartPass): boolean {
        let hasStarted = false;
        while (!pass.isOver) {
            this.expireQueue(queue);
            const next = queue.next(this.opts.now(), pass);
            if (next === undefined) {
                break;
            }
            pass.tried.add(next.entry);
            const outcome = this.tryStart(queue, next.entry, next.isReservedTurn);
            if (outcome === "noRoom") {
                pass.recordFailure(next.rank);
            }
            else if (outcome === "started") {
                pass.recordStart();
                hasStarted = true;
            }
        }
        return hasStarted;
    }

    private tryStart(
        queue: ServiceQueue,
        entry: QueuedRequest,
        isReservedTurn: boolean,
    ): "started" | "noRoom" | "threw" {
        const outcome = entry.tryStart(isReservedTurn);
        if (outcome === "started") {
            queue.removeStarted(entry, this.opts.now());
            this.waitingBytes -= entry.request.bytes;
        }
        else if (outcome === "threw") {
            this.remove(queue, entry);
        }
        else if (entry.isAborted || this.isClosed) {
            this.refuse(queue, entry, "cancelled");
        }
        return outcome;
    }

    /** Rejects requests that can't complete in time if they start now. */
    private expireQueue(queue: ServiceQueue): void {
        const now = this.opts.now();
        if (now < queue.nextExpiryAt) {
            return;
        }
        for (const entry of [...queue].filter(({ latestStartAt }) => latestStartAt <= now)) {
            this.refuse(queue, entry, "infeasible");
        }
        queue.nextExpiryAt = [...queue].reduce((least, { latestStartAt }) => Math.min(least, latestStartAt), Infinity);
    }

    /** Whether a request is expected to wait for longer than its deadline allows. */
    private isInfeasible(queue: ServiceQueue, entry: QueuedRequest): boolean {
        const now = this.opts.now();
        const { ahead, waitMs } = queue.expectedWait(entry, now) ?? { ahead: 0, waitMs: 0 };
        return ahead >= MIN_AHEAD_FOR_ESTIMATE && now + waitMs >= entry.latestStartAt;
    }

    /** Rejects the lowest-ranked requests while the bounds are exceeded because of a new one. */
    private enforceLimits(queue: ServiceQueue, added: QueuedRequest): void {
        const { maxRequests = DEFAULT_MAX_REQUESTS, maxBytes = DEFAULT_MAX_BYTES } = this.opts;
        if (added.request.bytes > maxBytes) {
            this.refuse(queue, added, "full");
        }
        while (queue.length > maxRequests) {
            const last = first(queue.reversed(this.opts.now()), ({ isWaiting }) => isWaiting);
            if (last === undefined) {
                // Only requests that are being started are left; the bound holds again when their attempts end.
                return;
            }
            this.refuse(queue, last, "full");
        }
        while (this.waitingBytes > maxBytes) {
            const last = this.lowestRankedWithBytes();
            if (last === undefined) {
                return;
            }
            this.refuse(last.queue, last.entry, "full");
        }
    }

    /** Of the lowest rank that holds memory at any service, the request with the most bytes: so the fewest are rejected. */
    private lowestRankedWithBytes(): { queue: ServiceQueue; entry: QueuedRequest; } | undefined {
        let lowest: { queue: ServiceQueue; entry: QueuedRequest; } | undefined;
        for (const queue of this.queues.values()) {
            for (const entry of queue) {
                const { request } = entry;
                if (!entry.isWaiting || request.bytes === 0) {
                    continue;
                }
                const order = lowest === undefined ? 1 : compareRanks(request, lowest.entry.request);
                if (order > 0 || (order === 0 && request.bytes > (lowest?.entry.request.bytes ?? 0))) {
                    lowest = { queue, entry };
                }
            }
        }
        return lowest;
    }

    /** Rejects a waiting request. Does nothing if it is being started or is settled. */
    private refuse(queue: ServiceQueue, entry: QueuedRequest, reason: ScheduleRefusal["reason"]): void {
        if (!entry.isWaiting) {
            return;
        }
        const now = this.opts.now();
        const refusal = this.refusal(reason, queue.expectedDrainMs(entry.request, now) ?? MIN_RETRY_AFTER_MS);
        this.remove(queue, entry);
        entry.refuse(refusal);
        queue.startRate.setBusy(now, queue.length > 0);
    }

    private remove(queue: ServiceQueue, entry: QueuedRequest): void {
        if (queue.remove(entry)) {
            this.waitingBytes -= entry.request.bytes;
        }
    }

    /** Spreads retries over one to two times the expected wait. */
    private refusal(reason: ScheduleRefusal["reason"], waitMs: number): ScheduleRefusal {
        const { random = Math.random } = this.opts;
        const boundedMs = Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, waitMs));
        return { reason, retryAfterMs: boundedMs * (1 + random()) };
    }
}

function first<T>(values: Iterable<T>, isMatch: (value: T) => boolean): T | undefined {
    for (const value of values) {
        if (isMatch(value)) {
            return value;
        }
    }
    return undefined;
}
