import type { ObjectStore, WriteCondition } from "@pistachioreel/platform-store";
import { Failure } from "@pistachioreel/result-code";
import { err, ok, type Result } from "neverthrow";
import { randomUUID } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import type { ClaimRecord } from "./claimRecord.js";
import { parseClaimRecord } from "./parseClaimRecord.js";

interface IdempotencyClaimOptions {
    readonly store: ObjectStore;
    readonly hostId: string;
    /** Name of the claim's object in the store. */
    readonly name: string;
    /** Digest of the request; a repeat must have the same one. */
    readonly fingerprint: string;
    /** Monotonic time in ms after which the claim is no longer of use. */
    readonly deadlineAt: number;
    /** Monotonic time in ms. */
    readonly now: () => number;
}

/** `held`: this process may dispatch the request once. `done`: the request has already run. */
type Acquisition = { readonly kind: "held"; } | { readonly kind: "done"; readonly record: ClaimRecord; };
type Outcome = Pick<ClaimRecord, "state" | "response">;
/** Result of one store call: the condition of the next write, the end, or to wait for the holder or call again. */
type Step = { readonly next: WriteCondition; } | { readonly end: Result<Acquisition, Failure>; } | "wait" | "again";

const MAX_STORE_FAILURES = 3;
const STORE_RETRY_MS = 100;
const MIN_WAIT_MS = 100;
const MAX_WAIT_MS = 1_000;

/**
 * The exclusive right to run the request of one idempotency key, recorded in the store by conditional writes. A claim
 * is never taken over from another process.
 */
export class IdempotencyClaim {
    /** Whether a write of this claim got no response from the store and may still take effect. */
    hasUnconfirmedWrite = false;
    private readonly nonce = randomUUID();
    private readonly claimedAt = Date.now();
    private version = "";
    private storeFailures = 0;
    private isHeldByOther = false;

    constructor(private readonly opts: IdempotencyClaimOptions) {}

    get name(): string {
        return this.opts.name;
    }

    /**
     * Acquires the claim, or waits for the outcome of the request that holds it.
     *
     * Failures: `claimUnavailable` and `idempotencyKeyReused` (not run), `outcomeUnknown`.
     */
    async acquire(): Promise<Result<Acquisition, Failure>> {
        let condition: WriteCondition | undefined = { absent: true };
        let waitMs = MIN_WAIT_MS;
        while (this.storeFailures < MAX_STORE_FAILURES && this.timeLeftMs > 0) {
            const step: Step = condition === undefined ? await this.read() : await this.write(condition);
            if (step === "again") {
                this.storeFailures++;
                await this.pause(Math.random() * STORE_RETRY_MS * 2 ** this.storeFailures);
            }
            else if (step === "wait") {
                condition = undefined;
                await this.pause(waitMs * (0.5 + Math.random() / 2));
                waitMs = Math.min(MAX_WAIT_MS, 2 * waitMs);
            }
            else if ("end" in step) {
                return step.end;
            }
            else {
                condition = step.next;
            }
        }
        return err(this.unavailable);
    }

    /** The failure that applies if the claim has not been acquired in time. */
    get unavailable(): Failure {
        return new Failure(this.isHeldByOther ? "outcomeUnknown" : "claimUnavailable");
    }

    /** Records the outcome of a held claim. Failure: `storeUnreachable`, after which it can be called again. */
    async recordOutcome(outcome: Outcome): Promise<Result<void, Failure>> {
        const written = await this.put({ ...this.recordOf("claimed"), ...outcome }, { version: this.version });
        if (written.isOk()) {
            return ok(undefined);
        }
        // A write that failed may have taken effect; only a record that is still `claimed` has to be written again.
        const found = await this.readRecord();
        return found.map(current => {
            const isOwn = current?.record.nonce === this.nonce;
            if (isOwn && current.record.state === "claimed") {
                this.version = current.version;
            }
            return isOwn && current.record.state === "claimed";
        }).andThen(isStillClaimed => isStillClaimed ? err(new Failure("storeUnreachable")) : ok(undefined));
    }

    /**
     * Makes sure that a refused request's claim with an unconfirmed write ends as `not_run`: the condition of a write
     * that is still in transit to the store then fails. Failure: `storeUnreachable`, after which a retry is possible.
     */
    async repair(): Promise<Result<void, Failure>> {
        const found = await this.readRecord();
        if (found.isErr()) {
            return err(found.error);
        }
        const current = found.value;
        if (current === undefined) {
            return this.overwrite(this.recordOf("not_run"), { absent: true });
        }
        const { record, version } = current;
        if (record.nonce === this.nonce && record.state === "claimed") {
            return this.overwrite({ ...record, state: "not_run" }, { version });
        }
        return record.state === "not_run" ? this.overwrite(record, { version }) : ok(undefined);
    }

    private get timeLeftMs(): number {
        return this.opts.deadlineAt - this.opts.now();
    }

    private async write(condition: WriteCondition): Promise<Step> {
        const written = await this.put(this.recordOf("claimed"), condition);
        if (written.isOk()) {
            this.version = written.value;
            return { end: ok({ kind: "held" }) };
        }
        if (written.error.code === "storeConflict") {
            this.isHeldByOther = true;
        }
        else {
            this.hasUnconfirmedWrite = true;
            this.storeFailures++;
        }
        return this.read();
    }

    private async read(): Promise<Step> {
        const found = await this.readRecord();
        if (found.isErr()) {
            return "again";
        }
        if (found.value === undefined) {
            this.isHeldByOther = false;
            return { next: { absent: true } };
        }
        const { record, version } = found.value;
        this.isHeldByOther = record.nonce !== this.nonce && record.state !== "not_run";
        if (record.nonce === this.nonce && record.state === "claimed") {
            this.version = version;
            return { end: ok({ kind: "held" }) };
        }
        if (record.fingerprint !== this.opts.fingerprint) {
            return { end: err(new Failure("idempotencyKeyReused")) };
        }
        if (record.state === "done") {
            return { end: ok({ kind: "done", record }) };
        }
        return record.state === "not_run" ? { next: { version } } : "wait";
    }

    private async readRecord(): Promise<Result<{ record: ClaimRecord; version: string; } | undefined, Failure>> {
        const found = await this.opts.store.get(this.opts.name);
        return found.andThen(object =>
            object === undefined
                ? ok(undefined)
                : parseClaimRecord(object.value).map(record => ({ record, version: object.version }))
        );
    }

    private put(record: ClaimRecord, condition: WriteCondition): Promise<Result<string, Failure>> {
        return this.opts.store.put(this.opts.name, JSON.stringify(record), condition);
    }

    private async overwrite(record: ClaimRecord, condition: WriteCondition): Promise<Result<void, Failure>> {
        const written = await this.put(record, condition);
        return written.map(() => undefined);
    }

    private recordOf(state: ClaimRecord["state"]): ClaimRecord {
        const { hostId: host, fingerprint } = this.opts;
        return { nonce: this.nonce, host, fingerprint, state, claimedAt: this.claimedAt };
    }

    private async pause(ms: number): Promise<void> {
        await sleep(Math.max(0, Math.min(ms, this.timeLeftMs)));
    }
}
