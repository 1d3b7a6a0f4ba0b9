import type { ExchangeResult } from "@pistachioreel/forwarding";
import type {
    ColdTargetLimiter,
    PlacementChoice,
    ProcessingTimes,
    Target,
    TargetHealth,
    TargetLoads,
    TargetRegistry,
    WarmObjects,
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
    readonly links: TargetConnectionPools;
    readonly registry: TargetRegistry;
    readonly loads: TargetLoads;
    readonly warm: WarmObjects;
    readonly health: TargetHealth;
    readonly times: ProcessingTimes;
    readonly cold: ColdTargetLimiter;
    /** Monotonic time in ms. */
    readonly now: () => number;
}

/** How one attempt ended. */
interface AttemptEnd {
    readonly result: ExchangeResult;
    /** What the answer means; `undefined` without an answer. */
    readonly verdict: ResponseInterpretation | undefined;
    /** What ended the attempt before the target did. */
    readonly stoppedBy: AttemptCancellation["cancelledBy"];
}

type PlacedChoice = Extract<PlacementChoice, { target: Target; }>;

interface TargetAttemptOptions {
    /** Aborts when the caller has left. */
    readonly signal: AbortSignal;
    /** Time after which another target is likely to be faster, in ms; infinite if no other may be tried. */
    readonly slowMs: number;
    readonly mayMoveOn: () => boolean;
}

const PROBE_TIMEOUT_MS = 500;
/** An attempt that is ended after so many times the expected time says that its target is slow. */
const SLOW_FACTOR = 2;

/** One request at one target: it counts at the target while it runs, and what it shows is kept for later choices. */
export class TargetAttempt {
    private readonly hadFreeSlot: boolean;
    private readonly startedAt: number;
    private readonly endCount: () => void;

    constructor(
        private readonly known: AttemptContext,
        private readonly request: RelayedRequest,
        private readonly choice: PlacedChoice,
    ) {
        const { registry, loads, warm, health, cold, now } = known;
        const { target } = choice;
        this.hadFreeSlot = loads.loadOf(target.id) < target.slots;
        this.endCount = loads.start(target.id);
        this.startedAt = now();
        if (registry.isCold(target) || health.isPresumedCold(target)) {
            cold.recordSent(target);
        }
        if (request.object !== undefined) {
            warm.recordHandled(target, request.object);
        }
    }

    get target(): Target {
        return this.choice.target;
    }

    async run({ signal, slowMs, mayMoveOn }: TargetAttemptOptions): Promise<AttemptEnd> {
        const { links, dialect, loads } = this.known;
        const { target } = this;
        const deadlineMs = this.request.deadlineAt - this.startedAt;
        const limit = new AttemptCancellation({ signal, deadlineMs, slowMs, mayMoveOn });
        const { isIdempotent } = this.request.route;
        const exchanged = await links.poolOf(target).exchange(() => this.outgoing(), limit.signal, isIdempotent);
        const result = await this.checkEnd(exchanged);
        limit.end();
        const verdict = result.end === "answered" ? dialect.interpretResponse(result.response) : undefined;
        if (verdict?.load !== undefined) {
            loads.report(target.id, verdict.load);
        }
        this.endCount();
        this.learn(result, verdict, limit.cancelledBy);
        return { result, verdict, stoppedBy: limit.cancelledBy };
    }

    /** Whether the target is gone; one that accepts another connection lost only the one of this attempt. */
    async isTargetGone(): Promise<boolean> {
        const { links, health } = this.known;
        const isReachable = await links.poolOf(this.target).probe(AbortSignal.timeout(PROBE_TIMEOUT_MS));
        if (!isReachable) {
            health.recordUnreachable(this.target);
        }
        return !isReachable;
    }

    /** The request as it leaves; made when there is a connection, as opening one takes a part of the time left. */
    private outgoing() {
        const { id, method, url: path, body, rawHeaders, workspace, key, deadlineAt } = this.request;
        const headers = this.known.dialect.targetHeaders({
            rawHeaders,
            deadlineMs: Math.max(1, Math.floor(deadlineAt - this.known.now())),
            target: this.target,
            workspace: workspace?.name,
            key,
        });
        return { id, method, path, headers, body };
    }

    /** A connection that ends also ends an answer without a length, and a crash ends a connection as well. */
    private async checkEnd(result: ExchangeResult): Promise<ExchangeResult> {
        const isDoubtful = result.end === "answered" && !result.response.isFramed;
        return isDoubtful && await this.isTargetGone()
            ? { end: "lost", reason: "the target ended with its answer" }
            : result;
    }

    private learn(
        result: ExchangeResult,
        verdict: ResponseInterpretation | undefined,
        stoppedBy: AttemptCancellation["cancelledBy"],
    ): void {
        const { registry, health, times, now } = this.known;
        const { target, choice: { isWarm, baseMs, expectedMs } } = this;
        const tookMs = now() - this.startedAt;
        if (verdict?.coldMs !== undefined && verdict.coldMs > 0) {
            registry.recordCold(target, verdict.coldMs);
        }
        if (result.end === "lost" && stoppedBy !== undefined && tookMs > SLOW_FACTOR * expectedMs) {
            health.recordLatencyRatio(target, tookMs / baseMs);
        }
        if (result.end !== "answered" || verdict?.outcome !== "result") {
            return;
        }
        const isError = isServerError(result.response.status);
        health.recordResponse(target, isError);
        if (!isError && this.hadFreeSlot) {
            const { service, route: { name: route, objectiveMs } } = this.request;
            health.recordLatencyRatio(target, tookMs / baseMs);
            times.record({ service, route, objectiveMs }, isWarm, tookMs);
        }
    }
}
