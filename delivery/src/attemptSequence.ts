import { Failure } from "@pistachioreel/result-code";
import type { TargetQueue } from "@pistachioreel/steering";
import { err, ok, type Result } from "neverthrow";
import { setTimeout as sleep } from "node:timers/promises";
import type { Dispatcher, Pool } from "undici";
import { Attempt } from "./attempt.js";
import type { AttemptResult } from "./attemptResult.js";
import type { CrashSuspects } from "./crashSuspects.js";
import type { DeliveryObserver } from "./deliveryObserver.js";
import type { DeliveryReport } from "./deliveryReport.js";
import type { DeliveryRequest } from "./deliveryRequest.js";
import { forwardedHeaders } from "./forwardedHeaders.js";
import { isTargetLost } from "./isTargetLost.js";
import { MinimumLatencies } from "./minimumLatencies.js";
import type { RequestBody } from "./requestBody.js";
import type { RetryBudget } from "./retryBudget.js";
import { StrayResponse } from "./strayResponse.js";
import { suspectDigest } from "./suspectDigest.js";
import type { TargetPools } from "./targetPools.js";

interface DeliveryTarget {
    readonly id: string;
    readonly connections: number;
    readonly availabilityZone: string;
}

interface AttemptSequenceOptions {
    readonly pools: TargetPools;
    readonly queue: TargetQueue<DeliveryTarget>;
    /** Targets of a service in the configuration in force. */
    readonly targetsOf: (service: string) => readonly DeliveryTarget[];
    readonly retries: RetryBudget;
    readonly suspects: CrashSuspects;
    readonly observe: DeliveryObserver;
    /** Monotonic time in ms. */
    readonly now: () => number;
}

const MAX_ATTEMPTS = 3;
/** Several targets can be lost at once, so probing only a few would not show whether this host is cut off. */
const MAX_PROBED_TARGETS = 16;
/** Upper bound of the random delay before the first retry; it doubles with each further one. */
const RETRY_JITTER_MS = 20;

/** Sends a request to one target after the other until one responds or no further attempt is allowed. */
export class AttemptSequence {
    private readonly minimumLatencies: MinimumLatencies;

    constructor(private readonly opts: AttemptSequenceOptions) {
        this.minimumLatencies = new MinimumLatencies(opts.now);
    }

    /** Runs the request. A failure whose result code says "not run" means that no attempt can have run it. */
    async run(request: DeliveryRequest, body: RequestBody | undefined): Promise<Result<DeliveryReport, Failure>> {
        const excluded = new Set<string>();
        const avoidedZones = new Set<string>();
        const { service, workspace, priority, deadlineAt } = request;
        const signal = disconnectSignal(request);
        let mayHaveRun = false;
        // After a pause of this host, all measured latencies are too long; the cap still admits ordinary deadlines.
        const minimumMs = Math.min(this.minimumLatencies.minimumOf(service), request.attemptTimeoutMs);
        if (deadlineAt - this.opts.now() < minimumMs) {
            this.opts.observe("deadline-too-short", { request: request.id });
            return err(new Failure("deadlineInQueue", "no target has responded as fast as the deadline requires"));
        }
        this.opts.retries.recordFirstAttempt();
        for (let attempts = 1;; attempts++) {
            const { suspects } = this.opts;
            const admission = suspects.isEmpty
                ? ok("free" as const)
                : await suspects.awaitTurn(suspectDigest(request, body), deadlineAt);
            if (admission.isErr()) {
                return err(
                    mayHaveRun ? new Failure("outcomeUnknown", undefined, { cause: admission.error }) : admission.error,
                );
            }
            const zones = avoidedZones.size > 0 ? { avoidedZones } : {};
            const acquire = () =>
                this.opts.queue.acquire({
                    service,
                    workspace,
                    priority,
                    deadlineAt,
                    excluded: suspects.withTargetsToAvoid(excluded, admission.value),
                    signal,
                    ...zones,
                });
            let grant = await acquire();
            if (grant.isErr() && grant.error.code === "noTarget" && excluded.size > 0) {
                // All targets were tried once; one that refused the request under load may have a free slot by now.
                excluded.clear();
                grant = await acquire();
            }
            const endTurn = (isComplete: boolean) => {
                if (admission.value === "turn") {
                    suspects.endTurn(suspectDigest(request, body), isComplete);
                }
            };
            if (grant.isErr()) {
                endTurn(false);
                return err(mayHaveRun ? new Failure("outcomeUnknown", undefined, { cause: grant.error }) : grant.error);
            }
            const { target, release } = grant.value;
            excluded.add(target.id);
            const startedAt = this.opts.now();
            const authorization = request.reauthorize?.() ?? ok(undefined);
            if (authorization.isErr()) {
                release({ end: "unsent", latencyMs: 0 });
                endTurn(false);
                return err(
                    mayHaveRun
                        ? new Failure("outcomeUnknown", undefined, { cause: authorization.error })
                        : authorization.error,
                );
            }
            const result = await this.attempt(request, body, target);
            const endedAt = this.opts.now();
            release({ end: result.end, latencyMs: endedAt - startedAt });
            this.recordResult(request, target, result);
            if (await isTargetLost(result, this.opts.pools.poolOf(target), this.otherPools(service, target))) {
                suspects.recordLoss(suspectDigest(request, body), target.id, admission.value, { startedAt, endedAt });
            }
            else {
                endTurn(result.end === "complete");
            }
            if (result.response !== undefined) {
                this.minimumLatencies.record(service, this.opts.now() - startedAt);
                return ok({ target: target.id, attempts, response: result.response });
            }
            mayHaveRun ||= result.end !== "unsent" && result.end !== "refused";
            if (result.end === "broken" || result.end === "unsent") {
                avoidedZones.add(target.availabilityZone);
            }
            if (attempts >= MAX_ATTEMPTS || !this.canRetry(request, body, result)) {
                return err(failureOf(result, mayHaveRun));
            }
            await this.waitBeforeRetry(request, result, attempts);
        }
    }

    private attempt(
        request: DeliveryRequest,
        body: RequestBody | undefined,
        target: DeliveryTarget,
    ): Promise<AttemptResult> {
        const { now } = this.opts;
        const { deadlineAt, attemptTimeoutMs, response } = request;
        return new Promise(resolve => {
            // After a pause of this process, timers expire before a response that has arrived meanwhile is read.
            const onDeadline = () => setImmediate(() => attempt.stop("deadline"));
            const onIdle = () =>
                response.writableNeedDrain
                    ? idleTimer.refresh()
                    : setImmediate(() => attempt.stop("attempt-timeout"));
            const onClose = () => response.writableFinished || attempt.stop("disconnect");
            const deadlineTimer = setTimeout(onDeadline, Math.max(0, deadlineAt - now()));
            const idleTimer = setTimeout(onIdle, attemptTimeoutMs);
            const stopWatching = body === undefined || body.isComplete
                ? undefined
                : watchBody(request, () => idleTimer.refresh(), () => attempt.stop("body"));
            const attempt = new Attempt({
                requestId: request.id,
                method: request.request.method ?? "GET",
                response,
                isDetached: !request.isIdempotent,
                canSend: () => now() < deadlineAt,
                onProgress: () => idleTimer.refresh(),
                onEnd: result => {
                    clearTimeout(deadlineTimer);
                    clearTimeout(idleTimer);
                    stopWatching?.();
                    response.off("close", onClose);
                    resolve(result);
                },
            });
            if (request.isIdempotent) {
                response.once("close", onClose);
            }
            const { pools } = this.opts;
            const options = dispatchOptions(request, body, deadlineAt - now());
            pools.poolOf(target).dispatch({ ...options, reset: !pools.canReuse(target.id) }, attempt);
        });
    }

    /** Pools of randomly chosen other targets, to distinguish a lost target from a host that is cut off. */
    private otherPools(service: string, { id }: DeliveryTarget): Pool[] {
        const others = this.opts.targetsOf(service).filter(target => target.id !== id);
        const start = Math.floor(Math.random() * others.length);
        const rotated = [...others.slice(start), ...others.slice(0, start)];
        return rotated.slice(0, MAX_PROBED_TARGETS).map(target => this.opts.pools.poolOf(target));
    }

    private recordResult({ id }: DeliveryRequest, target: DeliveryTarget, result: AttemptResult): void {
        const timedOut = result.stoppedBy === "attempt-timeout";
        if (this.opts.pools.recordAttempt(target.id, timedOut)) {
            this.opts.observe("connections-dropped", { request: id, fields: { target: target.id } });
        }
        if (result.cause instanceof StrayResponse) {
            this.opts.pools.recordStrayResponse(target.id);
        }
        if (result.end !== "complete") {
            const fields = { target: target.id, end: result.end, reason: result.stoppedBy ?? "connection" };
            this.opts.observe("attempt-failed", { request: id, fields });
        }
    }

    private canRetry(request: DeliveryRequest, body: RequestBody | undefined, result: AttemptResult): boolean {
        const canRepeat = result.end === "unsent" || result.end === "refused" ||
            result.end === "broken" && request.isIdempotent;
        const isBodyAvailable = body === undefined || body.isComplete || result.end === "unsent";
        if (!canRepeat || !isBodyAvailable || this.opts.now() >= request.deadlineAt) {
            return false;
        }
        // A connection attempt that failed put no load on a target, so its retry is not charged to the budget.
        if (result.end === "unsent" || this.opts.retries.tryTake()) {
            return true;
        }
        this.opts.observe("retry-budget-spent", { request: request.id });
        return false;
    }

    private async waitBeforeRetry(request: DeliveryRequest, { end }: AttemptResult, attempts: number): Promise<void> {
        this.opts.observe("retry", { request: request.id, fields: { end, attempts } });
        if (end !== "unsent") {
            const jitterMs = Math.random() * RETRY_JITTER_MS * 2 ** (attempts - 1);
            await sleep(Math.min(jitterMs, Math.max(0, request.deadlineAt - this.opts.now())));
        }
    }
}

/** Aborts when the caller of an idempotent request disconnects; other requests continue without their caller. */
function disconnectSignal({ response, isIdempotent }: DeliveryRequest): AbortSignal {
    const disconnected = new AbortController();
    if (isIdempotent) {
        // The check is cheaper than aborting, which creates an exception with its stack.
        response.once("close", () => response.writableFinished || disconnected.abort());
    }
    return disconnected.signal;
}

/** Reports the chunks of a body that is streamed to the target, and when it is too large. Returns a stop function. */
function watchBody({ request, maxBodyBytes }: DeliveryRequest, onChunk: () => void, onTooLarge: () => void) {
    let bytes = 0;
    const onData = (chunk: Buffer) => {
        bytes += chunk.length;
        onChunk();
        if (bytes > maxBodyBytes) {
            onTooLarge();
        }
    };
    // Without the pause, the listener would start the flow before the target's connection takes the body.
    request.on("data", onData).pause();
    return () => request.off("data", onData);
}

function dispatchOptions(
    request: DeliveryRequest,
    body: RequestBody | undefined,
    timeLeftMs: number,
): Dispatcher.DispatchOptions {
    const { method = "GET", url: path = "/", rawHeaders } = request.request;
    const headers = forwardedHeaders(rawHeaders, request.key);
    headers.push("x-request-id", request.id, "x-deadline-ms", String(Math.max(1, Math.floor(timeLeftMs))));
    if (request.workspace !== undefined) {
        headers.push("x-workspace", request.workspace);
    }
    const sentBody = body === undefined ? undefined : body.isComplete ? body.head : request.request;
    return { method: method as Dispatcher.HttpMethod, path, headers, body: sentBody };
}

/** The failure for the caller; it says "not run" only if no attempt can have run the request. */
function failureOf({ end, cause, stoppedBy }: AttemptResult, mayHaveRun: boolean): Failure {
    if (end === "cut") {
        return new Failure("answerBroken", undefined, { cause });
    }
    if (mayHaveRun) {
        return new Failure(stoppedBy === "deadline" ? "deadlineExceeded" : "outcomeUnknown", undefined, { cause });
    }
    if (end === "refused") {
        return new Failure("targetRefused");
    }
    return new Failure(stoppedBy === "deadline" ? "deadlineInQueue" : "noTarget", undefined, { cause });
}
