import { TokenBucket } from "@pistachioreel/limits";
import type { ObjectStore } from "@pistachioreel/platform-store";
import { Failure } from "@pistachioreel/result-code";
import { err, ok, type Result } from "neverthrow";
import { createHash } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import type { AttemptSequence } from "./attemptSequence.js";
import type { ClaimRecord } from "./claimRecord.js";
import { ClaimRepairQueue } from "./claimRepairQueue.js";
import type { DeliveryObserver } from "./deliveryObserver.js";
import type { DeliveryReport } from "./deliveryReport.js";
import type { DeliveryRequest } from "./deliveryRequest.js";
import { IdempotencyClaim } from "./idempotencyClaim.js";
import { OPEN_WORKSPACE } from "./openWorkspace.js";
import type { RequestBody } from "./requestBody.js";

interface AtMostOnceDeliveryOptions {
    readonly store: ObjectStore;
    readonly hostId: string;
    /** Number of hosts that share the store's write budget. */
    readonly hostCount: () => number;
    readonly attempts: AttemptSequence;
    readonly observe: DeliveryObserver;
    /** Monotonic time in ms. */
    readonly now: () => number;
}

/** Writes per second that all hosts together may make for claims. */
const STORE_WRITES_PER_SECOND = 300;
const WRITES_PER_REQUEST = 2;
const MAX_RECORD_ATTEMPTS = 100;
const MIN_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 5_000;
/** Outcomes that await recording together with their response, up to 64 KiB each; further ones omit the response. */
const MAX_PENDING_RESPONSES = 200;

/** Runs non-idempotent requests at most once, by claiming each idempotency key in the store. */
export class AtMostOnceDelivery {
    private readonly repairQueue: ClaimRepairQueue;
    private readonly background = new Set<Promise<void>>();
    private budget: TokenBucket | undefined;
    private budgetHosts = 0;

    constructor(private readonly opts: AtMostOnceDeliveryOptions) {
        this.repairQueue = new ClaimRepairQueue(opts.observe);
    }

    /** Runs the request, or returns the recorded response of an earlier one with the same idempotency key. */
    async deliver(request: DeliveryRequest, body: RequestBody | undefined): Promise<Result<DeliveryReport, Failure>> {
        if (!this.tryTakeBudget()) {
            this.opts.observe("claim-budget-spent", { request: request.id });
            return err(new Failure("storeBudgetSpent"));
        }
        const { store, hostId, now } = this.opts;
        const { deadlineAt } = request;
        const name = objectName(request);
        const claim = new IdempotencyClaim({
            store,
            hostId,
            now,
            deadlineAt,
            name,
            fingerprint: fingerprintOf(request, body),
        });
        const acquired = await this.acquire(claim, deadlineAt);
        if (acquired.isErr()) {
            this.opts.observe("claim-refused", { request: request.id, fields: { code: acquired.error.number } });
            return err(acquired.error);
        }
        if (acquired.value.kind === "done") {
            this.opts.observe("claim-repeated", { request: request.id });
            return replayResponse(request, acquired.value.record);
        }
        this.opts.observe("claim-held", { request: request.id });
        const result = await this.opts.attempts.run(request, body);
        this.track(this.recordOutcome(claim, result));
        return result;
    }

    /** Resolves when all outcomes have been recorded and the claims of refused requests have been repaired. */
    async idle(): Promise<void> {
        await Promise.all(this.background);
        await this.repairQueue.idle();
    }

    private async acquire(claim: IdempotencyClaim, deadlineAt: number): ReturnType<IdempotencyClaim["acquire"]> {
        const acquiring = claim.acquire();
        const timer = new AbortController();
        const timeout = sleep(Math.max(0, deadlineAt - this.opts.now()), undefined, { signal: timer.signal })
            .catch(() => undefined);
        const result = await Promise.race([acquiring, timeout]);
        timer.abort();
        if (result === undefined) {
            // The caller may be told "not run", so a claim that the pending call writes must be repaired.
            this.track(acquiring.then(() => this.repairQueue.add(claim)));
            return err(claim.unavailable);
        }
        if (result.isErr() && claim.hasUnconfirmedWrite) {
            this.repairQueue.add(claim);
        }
        return result;
    }

    private async recordOutcome(claim: IdempotencyClaim, result: Result<DeliveryReport, Failure>): Promise<void> {
        const outcome = outcomeOf(result, this.background.size < MAX_PENDING_RESPONSES);
        if (outcome === undefined) {
            return;
        }
        for (let attempts = 1; attempts <= MAX_RECORD_ATTEMPTS; attempts++) {
            const recorded = await claim.recordOutcome(outcome);
            if (recorded.isOk()) {
                return;
            }
            const backoffMs = Math.random() * Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2 ** attempts);
            await sleep(backoffMs, undefined, { ref: false });
        }
        this.opts.observe("outcome-not-recorded");
    }

    private track(work: Promise<void>): void {
        this.background.add(work);
        void work.finally(() => this.background.delete(work));
    }

    private tryTakeBudget(): boolean {
        const hosts = Math.max(1, this.opts.hostCount());
        if (this.budget === undefined || hosts !== this.budgetHosts) {
            const rate = STORE_WRITES_PER_SECOND / WRITES_PER_REQUEST / hosts;
            this.budget = new TokenBucket({ rate, capacity: Math.max(1, rate), now: this.opts.now });
            this.budgetHosts = hosts;
        }
        return this.budget.tryTake();
    }
}

function objectName({ workspace = OPEN_WORKSPACE, routePath, idempotencyKey = "" }: DeliveryRequest): string {
    const digest = createHash("sha256").update(`${routePath}\n${idempotencyKey}`).digest("hex");
    return `once/${workspace}/${digest}`;
}

function fingerprintOf({ request }: DeliveryRequest, body: RequestBody | undefined): string {
    const { method = "", url = "", headers } = request;
    const length = body === undefined ? 0 : body.isComplete ? body.head.length : headers["content-length"] ?? "";
    const hash = createHash("sha256").update(`${method}\n${url}\n${length}\n`);
    return hash.update(body?.head ?? "").digest("hex");
}

/** Outcome to record. `undefined` if the request may have run: its claim stays, so that no host runs it again. */
function outcomeOf(
    result: Result<DeliveryReport, Failure>,
    keepsBody: boolean,
): Pick<ClaimRecord, "state" | "response"> | undefined {
    if (result.isErr()) {
        return result.error.isNotRun ? { state: "not_run" } : undefined;
    }
    const { status, headers, body, digest } = result.value.response;
    const kept = keepsBody ? body?.toString("base64") : undefined;
    return { state: "done", response: { status, headers: [...headers], body: kept, digest } };
}

function replayResponse(
    { id, response }: DeliveryRequest,
    { response: recorded }: ClaimRecord,
): Result<DeliveryReport, Failure> {
    if (recorded?.body === undefined) {
        return err(new Failure("answerNotKept", undefined, { details: { status: recorded?.status ?? 0 } }));
    }
    const { status, headers } = recorded;
    const body = Buffer.from(recorded.body, "base64");
    const headersWithoutLength = headers.filter((_, i) => headers[i - i % 2]?.toLowerCase() !== "content-length");
    if (!response.destroyed) {
        response.writeHead(status, [
            ...headersWithoutLength,
            "content-length",
            String(body.length),
            "x-request-id",
            id,
        ]);
        response.end(body);
    }
    return ok({ target: undefined, attempts: 0, response: { status, headers, body, digest: recorded.digest } });
}
