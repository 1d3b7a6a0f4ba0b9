import type { CrashSuspects, RetryBudget } from "@pistachioreel/delivery";
import type { ExchangeResult, TargetResponse } from "@pistachioreel/forwarding";
import type { Logger } from "@pistachioreel/logging";
import type { Target } from "@pistachioreel/placement";
import { Failure } from "@pistachioreel/result-code";
import { ok } from "neverthrow";
import type { Detour } from "./detour.js";
import type { GatewayMetrics } from "./gatewayMetrics.js";
import { isServerError } from "./isServerError.js";
import { LossReview } from "./lossReview.js";
import type { NoTarget } from "./noTarget.js";
import type { RelayedRequest } from "./relayedRequest.js";
import type { RelayResult } from "./relayResult.js";
import { requestDigest } from "./requestDigest.js";
import type { RequestPlacement } from "./requestPlacement.js";
import { type AttemptContext, TargetAttempt } from "./targetAttempt.js";

type RelayContext = Pick<AttemptContext, "connectionPools" | "health" | "loads" | "reach" | "now">;

interface RequestRelayOptions extends RelayContext {
    readonly placement: RequestPlacement;
    readonly suspects: CrashSuspects;
    readonly detour: Pick<Detour, "send">;
    readonly metrics: Pick<GatewayMetrics, "detours">;
    /** Creates the retry budget of a service. */
    readonly retryBudget: () => RetryBudget;
    /**
     * Monotonic time in ms at which this host ends; infinite unless it is shutting down. It then cancels no slow attempts, and
     * sends no request whose deadline is later.
     */
    readonly endsAt: () => number;
    readonly logger: Logger;
}

/** State of one request, shared by all its attempts. */
interface Progress {
    /** Ids of targets that have been tried. */
    readonly excluded: Set<string>;
    /** Ids of other hosts that the request has been passed on to. */
    readonly detourHosts: Set<string>;
    /** Number of targets to which the request was sent. */
    sends: number;
    /** Id of the last target that was tried. */
    target: string | undefined;
    /** Whether any target may have run the request. */
    mayHaveRun: boolean;
    /** The last response with a server error, which is returned if no other target succeeds. */
    failedResponse: TargetResponse | undefined;
}

type AttemptEnd = Awaited<ReturnType<TargetAttempt["run"]>>;

/** An idempotent request is sent to another target once an attempt takes this many times the expected time. */
const FAILOVER_FACTOR = 4;
/** An attempt is not cancelled as slow before this time. */
const MIN_ATTEMPT_MS = 500;
/** Refusals of another host that would be the same at any host that reaches the targets. */
const FINAL_REFUSALS: ReadonlySet<string> = new Set(["noTarget", "deadlineInQueue", "targetRefused", "crashSuspect"]);
/** Time for which a target that has refused a request counts as full. */
const FULL_TARGET_BACKOFF_MS = 60;

/**
 * Sends requests to targets until one of them responds. A request that is not idempotent is sent to a further target
 * only if the one before has certainly not run it.
 */
export class RequestRelay {
    private readonly retryBudgets = new Map<string, RetryBudget>();

    private readonly lossReview: LossReview;

    constructor(private readonly opts: RequestRelayOptions) {
        this.lossReview = new LossReview(opts);
    }

    /** @param signal Aborts when the caller disconnects. */
    async run(request: RelayedRequest, signal: AbortSignal): Promise<RelayResult> {
        const progress: Progress = {
            excluded: new Set(),
            detourHosts: new Set(),
            sends: 0,
            target: undefined,
            mayHaveRun: false,
            failedResponse: undefined,
        };
        this.budgetOf(request.service).recordFirstAttempt();
        for (;;) {
            const ended = this.failIfExpired(request, progress, signal) ??
                await this.attempt(request, progress, signal);
            if (ended !== undefined) {
                return ended;
            }
        }
    }

    /** Makes one attempt; returns `undefined` if another one is to follow. */
    private async attempt(
        request: RelayedRequest,
        progress: Progress,
        signal: AbortSignal,
    ): Promise<RelayResult | undefined> {
        const { suspects, placement } = this.opts;
        if (!this.canEndInTime(request)) {
            return this.fail(progress, new Failure("hostLeaving"), { retryAfterMs: 0 });
        }
        let needsOtherHost = () => this.opts.reach.isCutOff && !request.isDetoured;
        if (needsOtherHost()) {
            const detoured = await this.sendThroughOtherHost(request, progress, signal);
            if (detoured !== "noHost") {
                return detoured;
            }
            needsOtherHost = () => false;
        }
        // Hashing covers the body, so it is skipped while there are no suspects.
        const digest = suspects.isEmpty ? undefined : requestDigest(request);
        const admission = digest === undefined
            ? ok("free" as const)
            : await suspects.awaitTurn(digest, request.deadlineAt);
        if (admission.isErr()) {
            return this.fail(progress, admission.error);
        }
        const becomesSuspect = this.watchSuspect(request, digest);
        const placed = await placement.place(request, {
            excluded: () => suspects.withTargetsToAvoid(progress.excluded, admission.value),
            isInterrupted: () => needsOtherHost() || becomesSuspect() || signal.aborted || !this.canEndInTime(request),
            signal,
        });
        const attempt = placed.match(value => value, error => error);
        if (!(attempt instanceof TargetAttempt)) {
            this.endTurn(digest, admission.value, false);
            return this.handleNoTarget(progress, attempt);
        }
        const { id } = attempt.target;
        progress.excluded.add(id);
        progress.target = id;
        progress.sends++;
        const canFailOver = request.route.isIdempotent && progress.sends < request.route.maxAttempts;
        const slowMs = canFailOver ? Math.max(MIN_ATTEMPT_MS, FAILOVER_FACTOR * attempt.expectedMs) : Infinity;
        const shouldFailOver = () => this.shouldFailOver(request, progress);
        const end = await attempt.run({ signal, slowMs, shouldFailOver });
        const endedAt = this.opts.now();
        if (end.result.end === "lost" && end.cancelledBy === undefined && await attempt.isTargetGone()) {
            suspects.recordLoss(digest ?? requestDigest(request), id, admission.value, {
                startedAt: attempt.startedAt,
                endedAt,
            });
            this.lossReview.review(attempt.target);
        }
        else {
            this.endTurn(digest, admission.value, end.result.end === "answered");
        }
        const result = this.handleAttemptEnd(request, progress, attempt.target, end);
        placement.handleRoom(request.service);
        return result;
    }

    /**
     * Passes the request on to a host that reaches targets, which makes the attempts that are left. Returns `undefined` if another
     * attempt is to follow, and `noHost` if there is no such host.
     */
    private async sendThroughOtherHost(
        request: RelayedRequest,
        progress: Progress,
        signal: AbortSignal,
    ): Promise<RelayResult | "noHost" | undefined> {
        const { detour, metrics, logger } = this.opts;
        const maxAttempts = request.route.maxAttempts - progress.sends;
        const sent = await detour.send(request, { excluded: progress.detourHosts, maxAttempts, signal });
        if (sent === undefined) {
            return "noHost";
        }
        const { result, refusal, hostId } = sent;
        const outcome = refusal === undefined ? result.end : "refused";
        metrics.detours.inc({ outcome });
        const reason = refusal?.failure.code ?? (result.end === "answered" ? result.response.status : result.reason);
        logger.info({ event: "request-detoured", fields: { request: request.id, host: hostId, outcome, reason } });
        if (result.end === "unsent") {
            return undefined;
        }
        if (refusal?.failure.isNotRun === true) {
            const isFinal = FINAL_REFUSALS.has(refusal.failure.code);
            return isFinal ? this.fail(progress, refusal.failure, refusal) : undefined;
        }
        progress.sends++;
        if (result.end === "lost" || refusal !== undefined || !result.response.isFramed) {
            progress.mayHaveRun = true;
            const isRetried = request.route.isIdempotent && this.tryTakeRetry(request, progress);
            const isTooLate = signal.aborted || this.opts.now() >= request.deadlineAt;
            const failure = refusal?.failure ?? new Failure(isTooLate ? "deadlineExceeded" : "outcomeUnknown");
            return isRetried ? undefined : this.fail(progress, failure);
        }
        return { response: result.response, sends: progress.sends, target: undefined };
    }

    /** Returns a function that says whether the request has become a crash suspect since, while it waited. */
    private watchSuspect(request: RelayedRequest, digest: string | undefined): () => boolean {
        const { suspects } = this.opts;
        let known = digest;
        const isSuspect = () => !suspects.isEmpty && suspects.isSuspect(known ??= requestDigest(request));
        const wasSuspect = isSuspect();
        return () => !wasSuspect && isSuspect();
    }

    /** Decides what follows if a request got no target; returns `undefined` if it is to be re-evaluated. */
    private handleNoTarget(progress: Progress, reason: NoTarget): RelayResult | undefined {
        if (reason === "interrupted") {
            return undefined;
        }
        const code = "refusal" in reason && reason.refusal === "noTarget" ? "noTarget" : "deadlineInQueue";
        return this.fail(progress, new Failure(code), { retryAfterMs: reason.retryAfterMs });
    }

    /** Ends the turn of a crash suspect, if there is one, when no attempt was made or its target was not lost. */
    private endTurn(digest: string | undefined, admission: "free" | "turn", hasResponse: boolean): void {
        if (digest !== undefined && admission === "turn") {
            this.opts.suspects.endTurn(digest, hasResponse);
        }
    }

    /** Decides what follows one attempt; returns `undefined` if another one is to be made. */
    private handleAttemptEnd(
        request: RelayedRequest,
        progress: Progress,
        target: Target,
        end: AttemptEnd,
    ): RelayResult | undefined {
        const { result, interpretation } = end;
        if (result.end === "unsent") {
            return this.handleUnsentResult(request, progress, target, result, end.cancelledBy);
        }
        if (result.end === "lost") {
            return this.handleLostResult(request, progress, target, end.cancelledBy ?? result.reason, end.cancelledBy);
        }
        switch (interpretation?.outcome) {
            case "full":
            case "misdirected":
                return result.response.mayBeLate === true && !request.route.isIdempotent
                    ? this.handleDoubtfulRefusal(request, progress, target)
                    : this.handleNotRunResult(request, progress, target, interpretation.outcome);
            case "result":
                return this.handleResponse(request, progress, target, result);
            default:
                return this.handleLostResult(request, progress, target, "unusable answer", undefined);
        }
    }

    private handleUnsentResult(
        request: RelayedRequest,
        progress: Progress,
        target: Target,
        { reason, isWithdrawn = false }: Extract<ExchangeResult, { end: "unsent"; }>,
        cancelledBy: AttemptEnd["cancelledBy"],
    ): undefined {
        progress.sends--;
        // An attempt that ended because the caller disconnected or its deadline passed is no sign of a faulty target.
        if (!isWithdrawn && (cancelledBy === undefined || cancelledBy === "slow")) {
            this.opts.health.recordUnreachable(target);
            this.opts.reach.recordFailure(target);
        }
        this.log("attempt-unsent", request, target, reason);
        return undefined;
    }

    private handleLostResult(
        request: RelayedRequest,
        progress: Progress,
        target: Target,
        reason: string,
        cancelledBy: AttemptEnd["cancelledBy"],
    ): RelayResult | undefined {
        progress.mayHaveRun = true;
        this.log("attempt-lost", request, target, reason);
        if (cancelledBy === "caller" || cancelledBy === "deadline") {
            return this.fail(progress, new Failure("deadlineExceeded"));
        }
        this.opts.health.recordLoss(target);
        this.opts.reach.recordFailure(target);
        if (cancelledBy === "slow") {
            // Idle connections to the target may have stopped working too without having been closed. The retry was
            // charged to the budget when the attempt was cancelled.
            this.opts.connectionPools.poolOf(target).closeIdle();
            return undefined;
        }
        return request.route.isIdempotent && this.tryTakeRetry(request, progress)
            ? undefined
            : this.fail(progress, new Failure("outcomeUnknown"));
    }

    /** The refusal may be a late second response to an earlier request, while the target runs this one. */
    private handleDoubtfulRefusal(request: RelayedRequest, progress: Progress, target: Target): RelayResult {
        progress.mayHaveRun = true;
        this.opts.loads.recordFull(target.id, FULL_TARGET_BACKOFF_MS);
        this.log("attempt-lost", request, target, "refusal without request id on a used connection");
        return this.fail(progress, new Failure("outcomeUnknown"));
    }

    private handleNotRunResult(
        request: RelayedRequest,
        progress: Progress,
        target: Target,
        outcome: "full" | "misdirected",
    ): RelayResult | undefined {
        if (outcome === "full") {
            this.opts.loads.recordFull(target.id, FULL_TARGET_BACKOFF_MS);
        }
        else {
            // The request has reached none of the service's targets.
            progress.sends--;
            this.opts.health.recordUnreachable(target);
        }
        this.log("attempt-refused", request, target, outcome);
        return this.tryTakeRetry(request, progress) ? undefined : this.fail(progress, new Failure("targetRefused"));
    }

    private handleResponse(
        request: RelayedRequest,
        progress: Progress,
        target: Target,
        { response }: Extract<ExchangeResult, { end: "answered"; }>,
    ): RelayResult | undefined {
        if (isServerError(response.status) && request.route.isIdempotent && this.tryTakeRetry(request, progress)) {
            progress.mayHaveRun = true;
            progress.failedResponse = response;
            this.log("attempt-failed", request, target, String(response.status));
            return undefined;
        }
        return { response, sends: progress.sends, target: target.id };
    }

    /**
     * Whether a request ends before this host does even if it takes until its deadline. Otherwise its caller could be left without
     * a response, while another host has the time.
     */
    private canEndInTime({ deadlineAt }: RelayedRequest): boolean {
        return deadlineAt <= this.opts.endsAt();
    }

    /** Whether to cancel a slow attempt: if another target can take the request at once. Takes a retry if so. */
    private shouldFailOver(request: RelayedRequest, progress: Progress): boolean {
        const { endsAt, placement } = this.opts;
        return endsAt() === Infinity && placement.hasRoom(request, progress.excluded) &&
            this.tryTakeRetry(request, progress);
    }

    /** Takes a retry from the budget of the service, if attempts and time remain. */
    private tryTakeRetry({ route, service, deadlineAt }: RelayedRequest, { sends }: Progress): boolean {
        return sends < route.maxAttempts && this.opts.now() < deadlineAt && this.budgetOf(service).tryTake();
    }

    /** Fails a request whose caller has disconnected or whose deadline has passed. */
    private failIfExpired(request: RelayedRequest, progress: Progress, signal: AbortSignal): RelayResult | undefined {
        if (!signal.aborted && this.opts.now() < request.deadlineAt) {
            return undefined;
        }
        return this.fail(progress, new Failure("deadlineInQueue"));
    }

    /**
     * Returns the last server error of a target if there was one, or else the failure. A failure that states that the
     * request has not run becomes `outcomeUnknown` if a target may have run it.
     */
    private fail(
        { mayHaveRun, failedResponse, sends, target }: Progress,
        failure: Failure,
        { retryAfterMs }: { retryAfterMs?: number; } = {},
    ): RelayResult {
        if (failedResponse !== undefined) {
            return { response: failedResponse, sends, target };
        }
        const isOutcomeUnknown = mayHaveRun && failure.isNotRun;
        const reported = isOutcomeUnknown ? new Failure("outcomeUnknown", undefined, { cause: failure }) : failure;
        return { failure: reported, retryAfterMs, sends, target };
    }

    private budgetOf(service: string): RetryBudget {
        let budget = this.retryBudgets.get(service);
        if (budget === undefined) {
            budget = this.opts.retryBudget();
            this.retryBudgets.set(service, budget);
        }
        return budget;
    }

    private log(event: string, { id, service }: RelayedRequest, { id: target }: Target, reason: string): void {
        this.opts.logger.info({ event, fields: { request: id, service, target, reason } });
    }
}
