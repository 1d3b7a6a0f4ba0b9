import type { CrashSuspects, RetryBudget } from "@pistachioreel/delivery";
import type { ExchangeResult, TargetAnswer } from "@pistachioreel/forwarding";
import type { Logger } from "@pistachioreel/logging";
import type {
    ColdAdmission,
    Placement,
    PlacementRequest,
    Target,
    TargetHealth,
    TargetLoads,
    TargetRegistry,
    WarmObjects,
    WorkTimes,
} from "@pistachioreel/placement";
import { Failure } from "@pistachioreel/result-code";
import { createHash } from "node:crypto";
import type { AnswerVerdict } from "./answerVerdict.js";
import { AttemptLimit } from "./attemptLimit.js";
import type { Dialect } from "./dialect.js";
import type { RelayedRequest } from "./relayedRequest.js";
import type { RelayResult } from "./relayResult.js";
import type { TargetLinks } from "./targetLinks.js";

interface RequestRelayOptions {
    readonly dialect: Dialect;
    readonly links: TargetLinks;
    readonly placement: Placement;
    readonly registry: TargetRegistry;
    readonly loads: TargetLoads;
    readonly warm: WarmObjects;
    readonly health: TargetHealth;
    readonly times: WorkTimes;
    readonly cold: ColdAdmission;
    readonly suspects: CrashSuspects;
    readonly retryBudget: () => RetryBudget;
    /** Whether this host is about to stop; it then ends no attempt early. */
    readonly isLeaving: () => boolean;
    readonly logger: Logger;
    /** Monotonic time in ms. */
    readonly now: () => number;
}

/** State of one request while targets are tried. */
interface Progress {
    readonly excluded: Set<string>;
    sends: number;
    target: string | undefined;
    mayHaveRun: boolean;
    /** The last answer of a target that failed, kept in case no other target does better. */
    failedAnswer: TargetAnswer | undefined;
}

interface Sent {
    readonly target: Target;
    readonly result: ExchangeResult;
    readonly verdict: AnswerVerdict | undefined;
    /** What ended the attempt before the target did. */
    readonly stoppedBy: AttemptLimit["stoppedBy"];
}

/** An idempotent request is tried elsewhere once it has taken so many times the expected time. */
const SLOW_FACTOR = 4;
const MIN_ATTEMPT_MS = 500;
const FULL_MS = 60;
const PROBE_TIMEOUT_MS = 500;
const ERROR_STATUS = 500;

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
        this.budgetOf(request.service).countFirst();
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
        const { suspects } = this.opts;
        const entry = suspects.isEmpty ? "free" : await suspects.enter(digestOf(request), request.deadlineAt);
        if (typeof entry !== "string" && entry.isErr()) {
            return this.fail(progress, entry.error);
        }
        const turn = typeof entry === "string" ? entry : entry.value;
        const sent = await this.send(request, progress, signal);
        const wasLost = "result" in sent && sent.result.end === "lost" && sent.stoppedBy === undefined;
        if (wasLost && await this.isTargetGone(sent.target)) {
            suspects.noteLoss(digestOf(request), sent.target.id, turn);
        }
        else if (turn === "turn") {
            suspects.endTurn(digestOf(request), "result" in sent && sent.result.end === "answered");
        }
        return "result" in sent ? this.judge(request, progress, sent) : sent;
    }

    private async send(
        request: RelayedRequest,
        progress: Progress,
        signal: AbortSignal,
    ): Promise<Sent | RelayResult> {
        const { route, service, object, body, deadlineAt, workspace, key } = request;
        const { placement, loads, registry, health, cold, warm, times, links, dialect, now } = this.opts;
        const choice = placement.choose(placementOf(request, progress));
        if ("refusal" in choice) {
            return this.fail(progress, new Failure(choice.refusal === "noTarget" ? "noTarget" : "deadlineInQueue"), {
                retryAfterMs: choice.retryAfterMs,
            });
        }
        const { target, isWarm, baseMs } = choice;
        const hadFreeSlot = loads.loadOf(target.id) < target.slots;
        const endCount = loads.start(target.id);
        if (registry.isCold(target) || health.isUnproven(target)) {
            cold.note(target);
        }
        if (object !== undefined) {
            warm.note(target, object);
        }
        progress.excluded.add(target.id);
        progress.target = target.id;
        progress.sends++;
        const startedAt = now();
        const canRepeat = route.isIdempotent && progress.sends < route.maxAttempts;
        const slowMs = canRepeat ? Math.max(MIN_ATTEMPT_MS, SLOW_FACTOR * choice.expectedMs) : Infinity;
        const mayMoveOn = () => this.mayMoveOn(request, progress);
        const limit = new AttemptLimit({ signal, deadlineMs: deadlineAt - startedAt, slowMs, mayMoveOn });
        const headers = dialect.targetHeaders({
            rawHeaders: request.rawHeaders,
            deadlineMs: Math.max(1, Math.floor(deadlineAt - startedAt)),
            target,
            workspace: workspace?.name,
            key,
        });
        const { id, method, url: path } = request;
        const outgoing = { id, method, path, headers, body };
        const exchanged = await links.poolOf(target).exchange(outgoing, limit.signal, route.isIdempotent);
        const result = await this.checkEnd(target, exchanged);
        limit.end();
        const verdict = result.end === "answered" ? dialect.verdictOf(result.answer) : undefined;
        if (verdict?.load !== undefined) {
            loads.report(target.id, verdict.load);
        }
        endCount();
        const tookMs = now() - startedAt;
        if (verdict?.meaning === "result" && result.end === "answered") {
            const isError = result.answer.status >= ERROR_STATUS;
            const workMs = hadFreeSlot ? tookMs : undefined;
            health.noteAnswer(target, isError, workMs === undefined ? undefined : workMs / baseMs);
            if (!isError && workMs !== undefined) {
                times.record({ service, route: route.name, isWarm, objectiveMs: route.objectiveMs }, workMs);
            }
        }
        return { target, result, verdict, stoppedBy: limit.stoppedBy };
    }

    /** What follows from one attempt; `undefined` if another one is to be made. */
    private judge(request: RelayedRequest, progress: Progress, sent: Sent): RelayResult | undefined {
        const { target, result, verdict } = sent;
        const { health, loads, registry, links } = this.opts;
        if (verdict?.coldMs !== undefined && verdict.coldMs > 0) {
            registry.noteCold(target, verdict.coldMs);
        }
        if (result.end === "unsent") {
            progress.sends--;
            // A caller that leaves says nothing about the target.
            if (sent.stoppedBy === undefined || sent.stoppedBy === "slow") {
                health.noteUnreachable(target);
            }
            this.log("attempt-unsent", request, target, result.reason);
            return undefined;
        }
        if (result.end === "lost" || verdict === undefined || verdict.meaning === "unusable") {
            progress.mayHaveRun = true;
            const reason = sent.stoppedBy ?? (result.end === "lost" ? result.reason : "unusable answer");
            this.log("attempt-lost", request, target, reason);
            if (sent.stoppedBy === "caller" || sent.stoppedBy === "deadline") {
                return this.fail(progress, new Failure("deadlineExceeded"));
            }
            health.noteLoss(target);
            if (sent.stoppedBy === "slow") {
                // Connections that went silent show no other sign.
                links.poolOf(target).dropIdle();
            }
            // The budget of an attempt that was slow has been taken when it was ended.
            const mayRepeat = sent.stoppedBy === "slow" ||
                request.route.isIdempotent && this.mayRepeat(request, progress);
            return mayRepeat ? undefined : this.fail(progress, new Failure("outcomeUnknown"));
        }
        if (verdict.meaning === "full" || verdict.meaning === "misdirected") {
            if (verdict.meaning === "full") {
                loads.noteFull(target.id, FULL_MS);
            }
            else {
                health.noteUnreachable(target);
            }
            this.log("attempt-refused", request, target, verdict.meaning);
            return this.mayRepeat(request, progress) ? undefined : this.fail(progress, new Failure("targetRefused"));
        }
        const { answer } = sent.result as Extract<ExchangeResult, { end: "answered"; }>;
        if (answer.status >= ERROR_STATUS && request.route.isIdempotent && this.mayRepeat(request, progress)) {
            progress.mayHaveRun = true;
            progress.failedAnswer = answer;
            this.log("attempt-failed", request, target, String(answer.status));
            return undefined;
        }
        return { answer, sends: progress.sends, target: target.id };
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
        const told = mayHaveRun && failure.isNotRun
            ? new Failure("outcomeUnknown", undefined, { cause: failure })
            : failure;
        return { failure: told, retryAfterMs, sends, target };
    }

    /** A connection that ends also ends an answer without a length, and a crash ends a connection as well. */
    private async checkEnd(target: Target, result: ExchangeResult): Promise<ExchangeResult> {
        const isDoubtful = result.end === "answered" && !result.answer.isFramed;
        return isDoubtful && await this.isTargetGone(target)
            ? { end: "lost", reason: "the target ended with its answer" }
            : result;
    }

    /** Whether a target is gone that lost a connection; one that accepts another connection lost only that one. */
    private async isTargetGone(target: Target): Promise<boolean> {
        const signal = AbortSignal.timeout(PROBE_TIMEOUT_MS);
        const isReachable = await this.opts.links.poolOf(target).probe(signal);
        if (!isReachable) {
            this.opts.health.noteUnreachable(target);
        }
        return !isReachable;
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
