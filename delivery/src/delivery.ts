import { Failure } from "@pistachioreel/result-code";
import type { TargetQueue } from "@pistachioreel/steering";
import { err, ok, type Result } from "neverthrow";
import type { Dispatcher } from "undici";
import { Attempt } from "./attempt.js";
import type { AttemptResult } from "./attemptResult.js";
import type { DeliveryRequest } from "./deliveryRequest.js";
import { forwardedHeaders } from "./forwardedHeaders.js";
import type { TargetPools } from "./targetPools.js";

interface DeliveryTarget {
    readonly id: string;
    readonly connections: number;
}

interface DeliveryOptions {
    readonly pools: TargetPools;
    readonly queue: TargetQueue<DeliveryTarget>;
    /** Monotonic time in ms. */
    readonly now: () => number;
}

interface DeliveryReport {
    readonly target: string;
    readonly status: number | undefined;
    readonly attempts: number;
}

const MAX_ATTEMPTS = 3;

/** Takes one request from its caller to a target and the response back. */
export class Delivery {
    constructor(private readonly opts: DeliveryOptions) {}

    /**
     * Delivers the request. On success the caller has the whole response. A failure must be sent to the caller unless
     * the response has begun (`response.headersSent`).
     */
    async deliver(request: DeliveryRequest): Promise<Result<DeliveryReport, Failure>> {
        const excluded = new Set<string>();
        const { service, workspace, priority, deadlineAt } = request;
        const signal = disconnectSignal(request);
        let mayHaveRun = false;
        for (let attempts = 1;; attempts++) {
            const grant = await this.opts.queue.acquire({ service, workspace, priority, deadlineAt, excluded, signal });
            if (grant.isErr()) {
                return err(mayHaveRun ? new Failure("outcomeUnknown", undefined, { cause: grant.error }) : grant.error);
            }
            const { target, release } = grant.value;
            excluded.add(target.id);
            const startedAt = this.opts.now();
            const result = await this.run(request, target);
            release({ end: result.end, latencyMs: this.opts.now() - startedAt });
            if (result.end === "complete") {
                return ok({ target: target.id, status: result.status, attempts });
            }
            mayHaveRun ||= result.end !== "unsent" && result.end !== "refused";
            if (attempts >= MAX_ATTEMPTS || !isRetryable(request, result)) {
                return err(failureOf(result, mayHaveRun));
            }
        }
    }

    private run(request: DeliveryRequest, target: DeliveryTarget): Promise<AttemptResult> {
        const timeLeftMs = Math.max(1, Math.floor(request.deadlineAt - this.opts.now()));
        return new Promise(resolve => {
            const onEnd = (result: AttemptResult) => {
                clearTimeout(timer);
                request.response.off("close", onClose);
                resolve(result);
            };
            const attempt = new Attempt({
                response: request.response,
                addedHeaders: ["x-request-id", request.id],
                onEnd,
            });
            const timer = setTimeout(() => attempt.abort(new Error("deadline exceeded")), timeLeftMs);
            const onClose = () => {
                if (!request.response.writableFinished) {
                    attempt.abort(new Error("caller disconnected"));
                }
            };
            request.response.once("close", onClose);
            this.opts.pools.poolOf(target).dispatch(dispatchOptions(request, timeLeftMs), attempt);
        });
    }
}

function disconnectSignal({ response }: DeliveryRequest): AbortSignal {
    const disconnected = new AbortController();
    response.once("close", () => disconnected.abort());
    return disconnected.signal;
}

function dispatchOptions(request: DeliveryRequest, timeLeftMs: number): Dispatcher.DispatchOptions {
    const { method = "GET", url: path = "/", rawHeaders } = request.request;
    const hasBody = "content-length" in request.request.headers || "transfer-encoding" in request.request.headers;
    const headers = forwardedHeaders(rawHeaders, request.key);
    headers.push("x-request-id", request.id, "x-deadline-ms", String(timeLeftMs));
    if (request.workspace !== undefined) {
        headers.push("x-workspace", request.workspace);
    }
    return { method: method as Dispatcher.HttpMethod, path, headers, body: hasBody ? request.request : undefined };
}

function isRetryable(request: DeliveryRequest, result: AttemptResult): boolean {
    const bodyUntouched = !request.request.readableDidRead;
    if (result.end === "unsent" || result.end === "refused") {
        return bodyUntouched;
    }
    return result.end === "broken" && request.isIdempotent && bodyUntouched;
}

/** A refusal says "not run" only if no earlier attempt can have run the request. */
function failureOf(result: AttemptResult, mayHaveRun: boolean): Failure {
    switch (result.end) {
        case "cut":
            return new Failure("answerBroken", undefined, { cause: result.cause });
        case "unsent":
            return new Failure(mayHaveRun ? "outcomeUnknown" : "noTarget", undefined, { cause: result.cause });
        case "refused":
            return new Failure(mayHaveRun ? "outcomeUnknown" : "targetRefused");
        default:
            return new Failure("outcomeUnknown", undefined, { cause: result.cause });
    }
}
