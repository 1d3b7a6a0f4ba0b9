import type { ExchangeResult } from "@pistachioreel/forwarding";
import type {
    ColdAdmission,
    PlacementChoice,
    Target,
    TargetHealth,
    TargetLoads,
    TargetRegistry,
    WarmObjects,
    WorkTimes,
} from "@pistachioreel/placement";
import { AttemptCancellation } from "./attemptCancellation.js";
import type { Dialect } from "./dialect.js";
import { isServerError } from "./isServerError.js";
import type { RelayedRequest } from "./relayedRequest.js";
import type { ResponseInterpretation } from "./responseInterpretation.js";
import type { TargetConnectionPools } from "./targetConnectionPools.js";

/** Everything that attempts use and learn about targets. */
export interface AttemptContext {
    readonly dialect: Dialect;
    readonly connectionPools: TargetConnectionPools;
    readonly registry: TargetRegistry;
    readonly loads: TargetLoads;
    readonly warm: WarmObjects;
    readonly health: TargetHealth;
    readonly times: WorkTimes;
    readonly cold: ColdAdmission;
    /** Monotonic time in ms. */
    readonly now: () => number;
}

/** How one attempt ended. */
interface AttemptEnd {
    readonly result: ExchangeResult;
    /** What the answer means; `undefined` without an answer. */
    readonly interpretation: ResponseInterpretation | undefined;
    /** What ended the attempt before the target did. */
    readonly cancelledBy: AttemptCancellation["cancelledBy"];
}

type PlacedChoice = Extract<PlacementChoice, { target: Target; }>;

interface TargetAttemptOptions {
    /** Aborts when the caller has left. */
    readonly signal: AbortSignal;
    /** Time after which another target is likely to be faster, in ms; infinite if no other may be tried. */
    readonly slowMs: number;
    readonly shouldFailOver: () => boolean;
}

const PROBE_TIMEOUT_MS = 500;
/** An attempt that is ended after so many times the expected time says that its target is slow. */
const SLOW_FACTOR = 2;

/** One request at one target: it counts at the target while it runs, and what it shows is kept for later choices. */
export class TargetAttempt {
    private readonly hadFreeSlot: boolean;
    private readonly startedAt: number;
    private readonly releaseLoad: () => void;

    constructor(
        private readonly context: AttemptContext,
        private readonly request: RelayedRequest,
        private readonly choice: PlacedChoice,
    ) {
        const { registry, loads, warm, health, cold, now } = context;
        const { target } = choice;
        this.hadFreeSlot = loads.loadOf(target.id) < target.slots;
        this.releaseLoad = loads.start(target.id);
        this.startedAt = now();
        if (registry.isCold(target) || health.isUnproven(target)) {
            cold.note(target);
        }
        if (request.object !== undefined) {
            warm.note(target, request.object);
        }
    }

    get target(): Target {
        return this.choice.target;
    }

    async run({ signal, slowMs, shouldFailOver }: TargetAttemptOptions): Promise<AttemptEnd> {
        const { connectionPools, dialect, loads } = this.context;
        const { target } = this;
        const deadlineMs = this.request.deadlineAt - this.startedAt;
        const cancellation = new AttemptCancellation({ signal, deadlineMs, slowMs, shouldFailOver });
        const { isIdempotent } = this.request.route;
        const exchanged = await connectionPools.poolOf(target).exchange(
            () => this.buildRequest(),
            cancellation.signal,
            isIdempotent,
        );
        const result = await this.checkUnframedResponse(exchanged);
        cancellation.dispose();
        const interpretation = result.end === "answered" ? dialect.interpretResponse(result.answer) : undefined;
        if (interpretation?.load !== undefined) {
            loads.report(target.id, interpretation.load);
        }
        this.releaseLoad();
        this.recordOutcome(result, interpretation, cancellation.cancelledBy);
        return { result, interpretation, cancelledBy: cancellation.cancelledBy };
    }

    /** Whether the target is gone; one that accepts another connection lost only the one of this attempt. */
    async isTargetGone(): Promise<boolean> {
        const { connectionPools, health } = this.context;
        const isReachable = await connectionPools.poolOf(this.target).probe(AbortSignal.timeout(PROBE_TIMEOUT_MS));
        if (!isReachable) {
            health.noteUnreachable(this.target);
        }
        return !isReachable;
    }

    /** The request as it leaves; made when there is a connection, as opening one takes a part of the time left. */
    private buildRequest() {
        const { id, method, url: path, body, rawHeaders, workspace, key, deadlineAt } = this.request;
        const headers = this.context.dialect.targetHeaders({
            rawHeaders,
            deadlineMs: Math.max(1, Math.floor(deadlineAt - this.context.now())),
            target: this.target,
            workspace: workspace?.name,
            key,
        });
        return { id, method, path, headers, body };
    }

    /** A connection that ends also ends an answer without a length, and a crash ends a connection as well. */
    private async checkUnframedResponse(result: ExchangeResult): Promise<ExchangeResult> {
        const mayBeTruncated = result.end === "answered" && !result.answer.isFramed;
        return mayBeTruncated && await this.isTargetGone()
            ? { end: "lost", reason: "the target ended with its answer" }
            : result;
    }

    private recordOutcome(
        result: ExchangeResult,
        interpretation: ResponseInterpretation | undefined,
        cancelledBy: AttemptCancellation["cancelledBy"],
    ): void {
        const { registry, health, times, now } = this.context;
        const { target, choice: { isWarm, baseMs, expectedMs } } = this;
        const tookMs = now() - this.startedAt;
        if (interpretation?.coldMs !== undefined && interpretation.coldMs > 0) {
            registry.noteCold(target, interpretation.coldMs);
        }
        if (result.end === "lost" && cancelledBy !== undefined && tookMs > SLOW_FACTOR * expectedMs) {
            health.noteSlow(target, tookMs / baseMs);
        }
        if (result.end !== "answered" || interpretation?.outcome !== "result") {
            return;
        }
        const isError = isServerError(result.answer.status);
        health.noteAnswer(target, isError);
        if (!isError && this.hadFreeSlot) {
            const { service, route: { name: route, objectiveMs } } = this.request;
            health.noteSlow(target, tookMs / baseMs);
            times.record({ service, route, objectiveMs }, isWarm, tookMs);
        }
    }
}
