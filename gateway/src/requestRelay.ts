import type { CrashSuspects, RetryBudget } from "@pistachioreel/delivery";
import type { ExchangeResult, TargetResponse } from "@pistachioreel/forwarding";
import type { Logger } from "@pistachioreel/logging";
import type { Placement, PlacementRequest, Target } from "@pistachioreel/placement";
import { Failure } from "@pistachioreel/result-code";
import { ok } from "neverthrow";
import { createHash } from "node:crypto";
import { isServerError } from "./isServerError.js";
import type { RelayedRequest } from "./relayedRequest.js";
import type { RelayResult } from "./relayResult.js";
import { type AttemptContext, TargetAttempt } from "./targetAttempt.js";

interface RequestRelayOptions extends AttemptContext {
    readonly placement: Placement;
    readonly suspects: CrashSuspects;
    readonly retryBudget: () => RetryBudget;
    /** Whether this host is about to stop; it then ends no attempt early. */
    readonly isLeaving: () => boolean;
    readonly logger: Logger;
}

/** State of one request while targets are tried. */
interface Progress {
    readonly excluded: Set<string>;
    sends: number;
    target: string | undefined;
    mayHaveRun: boolean;
    /** The last answer of a target that failed, kept in case no other target does better. */
    failedAnswer: TargetResponse | undefined;
}

type AttemptEnd = Awaited<ReturnType<TargetAttempt["run"]>>;

/** An idempotent request is tried elsewhere once it has taken so many times the expected time. */
const MOVE_ON_FACTOR = 4;
const MIN_ATTEMPT_MS = 500;
const FULL_MS = 60;

/** Sends requests to targets until one of them answers, and never twice if the request must run once. */
export class RequestRelay {
    private readonly budgets = new Map<string, RetryBudget>();

    constructor(private readonly opts: RequestRelayOptions) {}

    /** @param signal Aborts when the caller has left. */
    async run(request: RelayedRequest, signal: AbortSignal): Promise<RelayResult> {
        const progress: Progress = {
            excluded: new Set(),
            sends: 0,
            target: undefined,
            mayHaveRun: false,
            failedAnswer: undefined,
        };
        this.budgetOf(request.service).recordFirstAttempt();
        for (;;) {
            const ended = this.findEnd(request, progress, signal) ?? await this.attempt(request, progress, signal);
            if (ended !== undefined) {
                return ended;
            }
        }
    }

    /** Makes one attempt; `undefined` if another one is to follow. */
    private async attempt(
        request: RelayedRequest,
        progress: Progress,
        signal: AbortSignal,
    ): Promise<RelayResult | undefined> {
        const { suspects, placement } = this.opts;
        // The digest covers the body, so it is only made for requests that may be suspects.
        const digest = suspects.isEmpty ? undefined : digestOf(request);
        const entry = digest === undefined ? ok("free" as const) : await suspects.awaitTurn(digest, request.deadlineAt);
        if (entry.isErr()) {
            return this.fail(progress, entry.error);
        }
        const choice = placement.choose(placementOf(request, progress));
        if ("refusal" in choice) {
            this.endTurn(digest, entry.value, false);
            const failure = new Failure(choice.refusal === "noTarget" ? "noTarget" : "deadlineInQueue");
            return this.fail(progress, failure, { retryAfterMs: choice.retryAfterMs });
        }
        const attempt = new TargetAttempt(this.opts, request, choice);
        const { id } = attempt.target;
        progress.excluded.add(id);
        progress.target = id;
        progress.sends++;
        const canRepeat = request.route.isIdempotent && progress.sends < request.route.maxAttempts;
        const slowMs = canRepeat ? Math.max(MIN_ATTEMPT_MS, MOVE_ON_FACTOR * choice.expectedMs) : Infinity;
        const mayMoveOn = () => this.mayMoveOn(request, progress);
        const end = await attempt.run({ signal, slowMs, mayMoveOn });
        if (end.result.end === "lost" && end.stoppedBy === undefined && await attempt.isTargetGone()) {
            suspects.recordLoss(digest ?? digestOf(request), id, entry.value);
        }
        else {
            this.endTurn(digest, entry.value, end.result.end === "answered");
        }
        return this.judge(request, progress, attempt.target, end);
    }

    private endTurn(digest: string | undefined, entry: "free" | "turn", isHarmless: boolean): void {
        if (digest !== undefined && entry === "turn") {
            this.opts.suspects.endTurn(digest, isHarmless);
        }
    }

    /** What follows from one attempt; `undefined` if another one is to be made. */
    private judge(
        request: RelayedRequest,
        progress: Progress,
        target: Target,
        end: AttemptEnd,
    ): RelayResult | undefined {
        const { result, verdict } = end;
        if (result.end === "unsent") {
            return this.judgeUnsent(request, progress, target, result.reason, end.stoppedBy);
        }
        if (result.end === "lost") {
            return this.judgeLost(request, progress, target, end.stoppedBy ?? result.reason, end.stoppedBy);
        }
        switch (verdict?.outcome) {
            case "full":
            case "misdirected":
                return this.judgeNotRun(request, progress, target, verdict.outcome);
            case "result":
                return this.judgeAnswer(request, progress, target, result);
            default:
                return this.judgeLost(request, progress, target, "unusable answer", undefined);
        }
    }

    private judgeUnsent(
        request: RelayedRequest,
        progress: Progress,
        target: Target,
        reason: string,
        stoppedBy: AttemptEnd["stoppedBy"],
    ): undefined {
        progress.sends--;
        // A caller that leaves says nothing about the target.
        if (stoppedBy === undefined || stoppedBy === "slow") {
            this.opts.health.recordUnreachable(target);
        }
        this.log("attempt-unsent", request, target, reason);
        return undefined;
    }

    private judgeLost(
        request: RelayedRequest,
        progress: Progress,
        target: Target,
        reason: string,
        stoppedBy: AttemptEnd["stoppedBy"],
    ): RelayResult | undefined {
        progress.mayHaveRun = true;
        this.log("attempt-lost", request, target, reason);
        if (stoppedBy === "caller" || stoppedBy === "deadline") {
            return this.fail(progress, new Failure("deadlineExceeded"));
        }
        this.opts.health.recordLoss(target);
        if (stoppedBy === "slow") {
            // Connections that went silent show no other sign. The budget was taken when the attempt was ended.
            this.opts.links.poolOf(target).closeIdle();
            return undefined;
        }
        return request.route.isIdempotent && this.mayRepeat(request, progress)
            ? undefined
            : this.fail(progress, new Failure("outcomeUnknown"));
    }

    private judgeNotRun(
        request: RelayedRequest,
        progress: Progress,
        target: Target,
        meaning: "full" | "misdirected",
    ): RelayResult | undefined {
        if (meaning === "full") {
            this.opts.loads.recordFull(target.id, FULL_MS);
        }
        else {
            this.opts.health.recordUnreachable(target);
        }
        this.log("attempt-refused", request, target, meaning);
        return this.mayRepeat(request, progress) ? undefined : this.fail(progress, new Failure("targetRefused"));
    }

    private judgeAnswer(
        request: RelayedRequest,
        progress: Progress,
        target: Target,
        { response }: Extract<ExchangeResult, { end: "answered"; }>,
    ): RelayResult | undefined {
        if (isServerError(response.status) && request.route.isIdempotent && this.mayRepeat(request, progress)) {
            progress.mayHaveRun = true;
            progress.failedAnswer = response;
            this.log("attempt-failed", request, target, String(response.status));
            return undefined;
        }
        return { answer: response, sends: progress.sends, target: target.id };
    }

    /** Whether a slow attempt may be ended: only if another target will take the request at once. */
    private mayMoveOn(request: RelayedRequest, progress: Progress): boolean {
        const { isLeaving, placement } = this.opts;
        return !isLeaving() && "target" in placement.choose(placementOf(request, progress)) &&
            this.mayRepeat(request, progress);
    }

    private mayRepeat({ route, service, deadlineAt }: RelayedRequest, { sends }: Progress): boolean {
        return sends < route.maxAttempts && this.opts.now() < deadlineAt && this.budgetOf(service).tryTake();
    }

    /** The end of a request whose caller has left or whose time is up. */
    private findEnd(request: RelayedRequest, progress: Progress, signal: AbortSignal): RelayResult | undefined {
        if (!signal.aborted && this.opts.now() < request.deadlineAt) {
            return undefined;
        }
        return this.fail(progress, new Failure("deadlineInQueue"));
    }

    /** A failure says "not run" only if no target can have run the request. */
    private fail(
        { mayHaveRun, failedAnswer, sends, target }: Progress,
        failure: Failure,
        { retryAfterMs }: { retryAfterMs?: number; } = {},
    ): RelayResult {
        if (failedAnswer !== undefined) {
            return { answer: failedAnswer, sends, target };
        }
        const isDoubtful = mayHaveRun && failure.isNotRun;
        const told = isDoubtful ? new Failure("outcomeUnknown", undefined, { cause: failure }) : failure;
        return { failure: told, retryAfterMs, sends, target };
    }

    private budgetOf(service: string): RetryBudget {
        let budget = this.budgets.get(service);
        if (budget === undefined) {
            budget = this.opts.retryBudget();
            this.budgets.set(service, budget);
        }
        return budget;
    }

    private log(event: string, { id, service }: RelayedRequest, { id: target }: Target, reason: string): void {
        this.opts.logger.info({ event, fields: { request: id, service, target, reason } });
    }
}

function placementOf(request: RelayedRequest, { excluded }: Progress): PlacementRequest {
    const { service, route, object, workspace, body, objectiveAt, deadlineAt } = request;
    return {
        service,
        route: route.name,
        object,
        regions: commonRegions(route.regions, workspace?.regions ?? []),
        excluded,
        bodyBytes: body?.length ?? 0,
        objectiveMs: route.objectiveMs,
        objectiveAt,
        deadlineAt,
    };
}

/** Recognizes repeats of the same request by the same caller. */
function digestOf({ method, url, body, workspace }: RelayedRequest): string {
    return createHash("sha256").update(`${workspace?.name ?? ""}\n${method}\n${url}\n`).update(body ?? "").digest(
        "hex",
    );
}

/** Regions that both lists allow, where an empty list allows all; `undefined` if all are allowed. */
function commonRegions(a: readonly string[], b: readonly string[]): readonly string[] | undefined {
    const lists = [a, b].filter(list => list.length > 0);
    return lists.length === 0 ? undefined : lists.reduce((common, list) => common.filter(name => list.includes(name)));
}
