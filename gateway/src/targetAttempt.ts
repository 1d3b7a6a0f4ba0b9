import type { CapacitySample, TargetCapacities, TargetPaces } from "@pistachioreel/capacity";
import { routeKey } from "@pistachioreel/desired-state";
import type { ExchangeResult } from "@pistachioreel/forwarding";
import {
    type ColdTargetLimiter,
    type PlacementChoice,
    type ProcessingTimes,
    type Target,
    type TargetHealth,
    targetKey,
    type TargetLoads,
    type TargetRegistry,
    type TargetStatement,
    type TargetStatements,
    type WarmCapacities,
    type WarmObjects,
} from "@pistachioreel/placement";
import { AttemptCancellation } from "./attemptCancellation.js";
import type { Dialect } from "./dialect.js";
import { isServerError } from "./isServerError.js";
import type { RelayedRequest } from "./relayedRequest.js";
import type { ResponseInterpretation } from "./responseInterpretation.js";
import type { TargetConnectionPools } from "./targetConnectionPools.js";
import type { TargetReach } from "./targetReach.js";

/** Components that hold the state of targets; all attempts use and update them. */
export interface AttemptContext {
    readonly dialect: Dialect;
    readonly connectionPools: TargetConnectionPools;
    readonly registry: TargetRegistry;
    readonly loads: TargetLoads;
    readonly warm: WarmObjects;
    readonly warmCapacities: WarmCapacities;
    readonly health: TargetHealth;
    readonly capacities: TargetCapacities;
    readonly paces: TargetPaces;
    readonly times: ProcessingTimes;
    readonly cold: ColdTargetLimiter;
    readonly statements: TargetStatements;
    readonly reach: TargetReach;
    /** Monotonic time in ms. */
    readonly now: () => number;
}

/** Outcome of one attempt. */
interface AttemptEnd {
    readonly result: ExchangeResult;
    /** Interpretation of the response; `undefined` if there was none. */
    readonly interpretation: ResponseInterpretation | undefined;
    /** Why the attempt was cancelled; `undefined` if it was not. */
    readonly cancelledBy: AttemptCancellation["cancelledBy"];
}

type PlacedChoice = Extract<PlacementChoice, { target: Target; }>;

interface TargetAttemptOptions {
    /** Aborts when the caller disconnects. */
    readonly signal: AbortSignal;
    /** Time after which another target is likely to be faster, in ms; infinite if no other may be tried. */
    readonly slowMs: number;
    /** Called at most once, after `slowMs`: whether to cancel the attempt in favour of another target. */
    readonly shouldFailOver: () => boolean;
}

const PROBE_TIMEOUT_MS = 500;
/** A request that takes more than this share of the time for a cold object did not find its object warm. */
const MAX_WARM_TIME_SHARE = 0.65;
const USUAL_WORK_PERCENT = 100;
/** A target with a greater pace is slow for another reason than cold objects. */
const MAX_USUAL_PACE = 1.5;
/** An attempt that is cancelled after more than this many times the expected time counts as slow for its target. */
const SLOW_ATTEMPT_FACTOR = 2;

/** One attempt at running a request on a target. It counts as load while it runs; its outcome informs later choices. */
export class TargetAttempt {
    private readonly hadFreeSlot: boolean;
    /** Requests at the target when this one started, itself included. */
    private readonly concurrency: number;
    /** Monotonic time in ms. */
    readonly startedAt: number;
    private readonly releaseLoad: () => void;

    constructor(
        private readonly context: AttemptContext,
        private readonly request: RelayedRequest,
        private readonly choice: PlacedChoice,
    ) {
        const { registry, loads, warm, health, cold, statements, now } = context;
        const { target } = choice;
        this.concurrency = loads.loadOf(target.id) + 1;
        this.hadFreeSlot = this.concurrency <= target.slots;
        this.releaseLoad = loads.start(target.id);
        this.startedAt = now();
        if (registry.isCold(target) || health.isPresumedCold(target)) {
            cold.recordSent(target);
        }
        statements.recordSent(target);
        if (request.object !== undefined) {
            warm.recordHandled(target, request.object);
        }
    }

    get target(): Target {
        return this.choice.target;
    }

    /** Expected time until the response, in ms. */
    get expectedMs(): number {
        return this.choice.expectedMs;
    }

    /** Sends the request and waits for the response or the cancellation. To be called once. */
    async run({ signal, slowMs, shouldFailOver }: TargetAttemptOptions): Promise<AttemptEnd> {
        const { connectionPools, dialect, reach } = this.context;
        const { target } = this;
        const endAttempt = reach.startAttempt(target);
        const deadlineMs = this.request.deadlineAt - this.startedAt;
        const cancellation = new AttemptCancellation({ signal, deadlineMs, slowMs, shouldFailOver });
        const { isIdempotent } = this.request.route;
        const exchanged = await connectionPools.poolOf(target).exchange(
            () => this.buildRequest(),
            cancellation.signal,
            { isIdempotent },
        );
        endAttempt(exchanged.end === "answered");
        const result = await this.checkUnframedResponse(exchanged);
        cancellation.dispose();
        const interpretation = result.end === "answered" ? dialect.interpretResponse(result.response) : undefined;
        if (interpretation?.statement !== undefined) {
            this.recordStatement(interpretation.statement);
        }
        this.releaseLoad();
        this.recordOutcome(result, interpretation, cancellation.cancelledBy);
        return { result, interpretation, cancelledBy: cancellation.cancelledBy };
    }

    /**
     * Whether the target is gone, and not the way from this host to it. If it accepts a new connection, only the connection of this
     * attempt was lost.
     */
    async isTargetGone(): Promise<boolean> {
        const { connectionPools, health, reach } = this.context;
        if (await connectionPools.poolOf(this.target).probe(AbortSignal.timeout(PROBE_TIMEOUT_MS))) {
            return false;
        }
        health.recordUnreachable(this.target);
        return !await reach.check();
    }

    /**
     * Called when a connection is open, as opening one takes part of the time left, which is sent to the target. Meanwhile the
     * target may have left or stated, in another response, that it wants no requests; then there is none to send.
     */
    private buildRequest() {
        const { registry, statements } = this.context;
        if (!registry.isUsable(this.target) || statements.hasDeclinedSince(this.target, this.startedAt)) {
            return undefined;
        }
        const { id, method, url: path, body, rawHeaders, workspace, deadlineAt } = this.request;
        const headers = this.context.dialect.targetHeaders({
            rawHeaders,
            deadlineMs: Math.max(1, Math.floor(deadlineAt - this.context.now())),
            target: this.target,
            workspace: workspace?.name,
        });
        return { id, method, path, headers, body };
    }

    /**
     * Turns a response without a length into a loss if the target is gone. Such a response ends with its connection, as
     * it would at a crash of the target.
     */
    private async checkUnframedResponse(result: ExchangeResult): Promise<ExchangeResult> {
        const mayBeTruncated = result.end === "answered" && !result.response.isFramed;
        return mayBeTruncated && await this.isTargetGone()
            ? { end: "lost", reason: "the target ended with its answer" }
            : result;
    }

    /** Records the time of a request at a target with a free slot, and whether the target had kept its object warm. */
    private recordTime(tookMs: number, workPercent = USUAL_WORK_PERCENT): void {
        const { paces, times, warm, warmCapacities } = this.context;
        const { service, route } = this.request;
        const { target, choice: { isWarm } } = this;
        const requestClass = { service, route: routeKey(route), objectiveMs: route.objectiveMs };
        const { warm: warmTime, cold: coldTime } = times.estimate(requestClass);
        const wasKept = isWarm && (coldTime.measuredMs === 0 || tookMs < coldTime.measuredMs * MAX_WARM_TIME_SHARE);
        if (isWarm && coldTime.measuredMs > 0 && paces.paceOf(targetKey(target)).factor < MAX_USUAL_PACE) {
            warmCapacities.record(service, warm.countFor(target), wasKept);
        }
        const unloadedMs = (wasKept ? warmTime : coldTime).expectedMs;
        paces.recordMeasured(targetKey(target), tookMs / unloadedMs);
        // Other work on the target's machine is no sign of its own capacity.
        this.recordCapacity(tookMs, unloadedMs * workPercent / USUAL_WORK_PERCENT, "completed");
        if (wasKept || !isWarm) {
            times.record(requestClass, isWarm, tookMs);
        }
    }

    private recordStatement(statement: TargetStatement): void {
        const { loads, paces, registry, statements } = this.context;
        const { load, coldMs } = statement;
        if (load !== undefined) {
            loads.report(this.target.id, load);
        }
        if (load?.workPercent !== undefined) {
            paces.recordStated(targetKey(this.target), load.workPercent);
        }
        if (coldMs !== undefined && coldMs > 0) {
            registry.recordCold(this.target, coldMs);
        }
        statements.record(this.target, statement, this.startedAt);
    }

    private recordOutcome(
        result: ExchangeResult,
        interpretation: ResponseInterpretation | undefined,
        cancelledBy: AttemptCancellation["cancelledBy"],
    ): void {
        const { health, paces, now } = this.context;
        const { target, choice: { baseMs, expectedMs } } = this;
        const tookMs = now() - this.startedAt;
        if (result.end === "lost" && cancelledBy !== undefined && tookMs > SLOW_ATTEMPT_FACTOR * expectedMs) {
            paces.recordMeasured(targetKey(target), tookMs / baseMs);
        }
        if (result.end !== "answered" || interpretation?.outcome !== "result") {
            if (result.end === "lost") {
                this.recordCapacity(tookMs, baseMs, "failed");
            }
            return;
        }
        const isError = isServerError(result.response.status);
        health.recordResponse(target, isError);
        if (isError) {
            this.recordCapacity(tookMs, baseMs, "failed");
        }
        else if (this.hadFreeSlot) {
            this.recordTime(tookMs, interpretation.statement?.load?.workPercent);
        }
    }

    /** Not called for refusals, as a target may refuse requests for other reasons than its load. */
    private recordCapacity(tookMs: number, unloadedMs: number, end: CapacitySample["end"]): void {
        const { concurrency, target } = this;
        this.context.capacities.record({
            target: targetKey(target),
            concurrency,
            slots: target.slots,
            tookMs,
            unloadedMs,
            end,
        });
    }
}
