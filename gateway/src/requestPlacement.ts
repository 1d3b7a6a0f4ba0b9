import { routeKey } from "@pistachioreel/desired-state";
import type { Logger } from "@pistachioreel/logging";
import type { Placement, PlacementRequest } from "@pistachioreel/placement";
import type { Rank, RequestScheduler, ScheduleRefusal, SlotReservation } from "@pistachioreel/scheduling";
import { err, ok, type Result } from "neverthrow";
import { newPlacementRequest } from "./newPlacementRequest.js";
import type { NoTarget } from "./noTarget.js";
import type { RelayedRequest } from "./relayedRequest.js";
import { type AttemptContext, TargetAttempt } from "./targetAttempt.js";

interface RequestPlacementOptions extends AttemptContext {
    readonly logger: Logger;
    readonly placement: Placement;
    readonly scheduler: RequestScheduler;
    readonly reservation: SlotReservation;
}

interface PlaceOptions {
    /** Ids of targets that the request is not sent to now. */
    readonly excluded: () => ReadonlySet<string>;
    /** Called before each choice: whether the request must be re-evaluated instead. */
    readonly isInterrupted: () => boolean;
    /** Aborts when the caller disconnects. */
    readonly signal: AbortSignal;
}

/** Choices that were made for one request. */
interface Tries {
    count: number;
    /** Time after which the last one that found no room expects some, in ms. */
    retryAfterMs: number;
}

/** What becomes of a request whose turn has come. */
type Placed = TargetAttempt | Exclude<NoTarget, ScheduleRefusal>;

/** Time between two checks for room while requests wait, as slots that other hosts free are known from reports only. */
const ROOM_CHECK_INTERVAL_MS = 40;
/** Shorter waits are one turn of the event loop, and not logged. */
const MIN_LOGGED_WAIT_MS = 5;
/** Workspaces without a priority rank after those that have one. */
const NO_PRIORITY = 1_000_000;

/** Lets each request wait, in the order of the scheduler, until a target has room for it. */
export class RequestPlacement {
    private timer: NodeJS.Timeout | undefined;
    /** Services at which room may have appeared, to be checked at the next turn of the event loop. */
    private readonly changedServices = new Set<string>();

    constructor(private readonly opts: RequestPlacementOptions) {}

    /**
     * Resolves to a running attempt, to the reason for a refusal by all targets, or to that of the scheduler. A request waits as long as it
     * can still meet its latency objective: beyond that, it would take room from those that can. It is then queued at a target, up
     * to the share of its rank, or refused so that its caller can return.
     */
    async place(request: RelayedRequest, opts: PlaceOptions): Promise<Result<Placed, ScheduleRefusal>> {
        const rank = rankOf(request);
        this.opts.reservation.recordDemand(request.service, rank);
        const arrivedAt = this.opts.now();
        const tries: Tries = { count: 0, retryAfterMs: 0 };
        const tryStart = (isReservedTurn: boolean) =>
            this.tryStart(
                request,
                opts,
                tries,
                isReservedTurn ? 1 : this.opts.reservation.shareFor(request.service, rank),
            );
        const scheduled = await this.schedule(request, rank, opts.signal, tryStart);
        const waitedMs = this.opts.now() - arrivedAt;
        const placed = scheduled.orElse(refusal => {
            const last = refusal.reason === "cancelled" ? undefined : tryStart(false);
            const retryAfterMs = Math.max(refusal.retryAfterMs, tries.retryAfterMs);
            return last === undefined ? err({ ...refusal, retryAfterMs }) : ok(last);
        });
        const outcome = placed.isErr() ? placed.error.reason : scheduled.isErr() ? "queued" : "started";
        this.logWait(request, waitedMs, outcome);
        return placed;
    }

    private schedule(
        request: RelayedRequest,
        rank: Rank,
        signal: AbortSignal,
        tryStart: (isReservedTurn: boolean) => Placed | undefined,
    ): Promise<Result<Placed, ScheduleRefusal>> {
        const { scheduler, times } = this.opts;
        const { service, route, workspace, objectiveAt, body } = request;
        // A late request is not worth the wait of others, so it is only tried at once.
        const deadlineAt = Math.min(objectiveAt, request.deadlineAt);
        const requestClass = { service, route: routeKey(route), objectiveMs: route.objectiveMs };
        const { minimumMs } = times.estimate(requestClass).warm;
        const placed = scheduler.schedule(
            { service, ...rank, workspace: workspace?.name, objectiveAt, deadlineAt, bytes: body?.length ?? 0 },
            { minimumMs, signal, start: ({ isReservedTurn }) => tryStart(isReservedTurn) },
        );
        this.watch();
        return placed;
    }

    /** Whether a target has room for the request now. */
    hasRoom(request: RelayedRequest, excluded: ReadonlySet<string>): boolean {
        return this.opts.placement.canChoose(placementOf(request, excluded));
    }

    /** Called when a request at a target of the service has ended. */
    handleRoom(service: string): void {
        this.changedServices.add(service);
        if (this.changedServices.size === 1) {
            setImmediate(() => {
                const services = [...this.changedServices];
                this.changedServices.clear();
                services.forEach(changed => this.opts.scheduler.handleRoom(changed));
            });
        }
    }

    /** Refuses all waiting requests, as this host is shutting down. */
    close(): void {
        clearTimeout(this.timer);
        this.opts.scheduler.close();
    }

    /** The choice of targets, for explanations. */
    get targets(): Pick<Placement, "describe" | "preview"> {
        return this.opts.placement;
    }

    /** Numbers of waiting requests by service and rank. */
    waitingCounts(): ReturnType<RequestScheduler["waitingCounts"]> {
        return this.opts.scheduler.waitingCounts();
    }

    private logWait({ id, service, route, workspace }: RelayedRequest, ms: number, outcome: string): void {
        if (ms < MIN_LOGGED_WAIT_MS) {
            return;
        }
        const waitedMs = Math.round(ms);
        const fields = { request: id, service, route: route.name, workspace: workspace?.name, waitedMs, outcome };
        this.opts.logger.info({ event: "request-waited", fields });
    }

    private tryStart(
        request: RelayedRequest,
        opts: PlaceOptions,
        tries: Tries,
        capacityShare: number,
    ): Placed | undefined {
        const { placement } = this.opts;
        if (opts.isInterrupted()) {
            return "interrupted";
        }
        const isRepeated = tries.count++ > 0;
        const choice = placement.choose({ ...placementOf(request, opts.excluded()), capacityShare, isRepeated });
        if ("target" in choice) {
            return new TargetAttempt(this.opts, request, choice);
        }
        tries.retryAfterMs = choice.retryAfterMs;
        return choice.refusal === "noRoom" ? undefined : choice;
    }

    /** Checks for room, and rejects requests whose wait has expired, while any wait. */
    private watch(): void {
        const { scheduler } = this.opts;
        if (this.timer !== undefined) {
            return;
        }
        const nextExpiryAt = scheduler.expire();
        if (nextExpiryAt === undefined) {
            return;
        }
        this.timer = setTimeout(() => {
            this.timer = undefined;
            new Set(scheduler.waitingCounts().map(({ service }) => service))
                .forEach(service => scheduler.handleRoom(service));
            this.watch();
        }, ROOM_CHECK_INTERVAL_MS);
        this.timer.unref();
    }
}

function rankOf({ route, workspace }: RelayedRequest): Rank {
    return { workspacePriority: workspace?.priority ?? NO_PRIORITY, routePriority: route.priority };
}

function placementOf(request: RelayedRequest, excluded: ReadonlySet<string>): PlacementRequest {
    return newPlacementRequest({ ...request, bodyBytes: request.body?.length ?? 0, excluded });
}
