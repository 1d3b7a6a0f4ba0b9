import type { ObjectStore } from "@pistachioreel/platform-store";
import { createHash } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import type { DeliveryObserver } from "./deliveryObserver.js";
import { parseClaimRecord } from "./parseClaimRecord.js";

interface ClaimSweeperOptions {
    readonly store: ObjectStore;
    /** Workspaces whose claims are checked. */
    readonly workspaces: () => readonly string[];
    /** Index of this host among all hosts, and their number; each host checks its part of the names. */
    readonly share: () => { readonly index: number; readonly count: number; };
    readonly observe: DeliveryObserver;
    /** Age above which a claim is deleted, in ms. */
    readonly retentionMs?: number;
    /** Store calls per second of all hosts together. */
    readonly callsPerSecond?: number;
}

const MS_PER_HOUR = 3_600_000;
/** The guaranteed day plus one hour, to allow for clock skew between hosts. */
const DEFAULT_RETENTION_MS = 25 * MS_PER_HOUR;
/** Enough to read and delete a day's claims within a day, at the claims' budget of 150 per second. */
const DEFAULT_CALLS_PER_SECOND = 300;
const PASS_INTERVAL_MS = MS_PER_HOUR;
/** The next pass uses prefixes of one more character if a list had more names than this. */
const MAX_NAMES_PER_LIST = 500;
const MAX_PREFIX_LENGTH = 4;
const MS_PER_SECOND = 1_000;

/**
 * Deletes claims that are older than a day. Names are listed by short prefixes, so that the size of a response does not
 * grow with the number of all claims, and the rate of store calls is bounded.
 */
export class ClaimSweeper {
    private prefixLength = 1;

    constructor(private readonly opts: ClaimSweeperOptions) {}

    /** Makes passes until the signal aborts, with a pause of an hour before each. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await sleep(PASS_INTERVAL_MS, undefined, { signal, ref: false }).catch(() => undefined);
            await this.sweepOnce(signal);
        }
    }

    /** Makes one pass over this host's part of the names. */
    async sweepOnce(signal: AbortSignal): Promise<void> {
        let largestList = 0;
        for (let index = 0; index < 16 ** this.prefixLength && !signal.aborted; index++) {
            const prefix = index.toString(16).padStart(this.prefixLength, "0");
            if (this.isOwn(prefix)) {
                largestList = Math.max(largestList, await this.sweepPrefix(prefix, signal));
            }
        }
        if (largestList > MAX_NAMES_PER_LIST && this.prefixLength < MAX_PREFIX_LENGTH) {
            this.prefixLength++;
        }
    }

    /** Checks all claims with a prefix; returns the length of the longest list of names. */
    private async sweepPrefix(prefix: string, signal: AbortSignal): Promise<number> {
        let largestList = 0;
        for (const workspace of this.opts.workspaces()) {
            const names = (await this.opts.store.list(`once/${workspace}/${prefix}`)).unwrapOr([]);
            largestList = Math.max(largestList, names.length);
            await this.pause(signal);
            for (const name of names) {
                await this.sweepObject(name, signal);
            }
        }
        return largestList;
    }

    private async sweepObject(name: string, signal: AbortSignal): Promise<void> {
        if (signal.aborted) {
            return;
        }
        const found = await this.opts.store.get(name);
        await this.pause(signal);
        if (found.isErr() || found.value === undefined) {
            return;
        }
        const record = parseClaimRecord(found.value.value);
        const retentionMs = this.opts.retentionMs ?? DEFAULT_RETENTION_MS;
        if (record.isOk() && Date.now() - record.value.claimedAt > retentionMs) {
            const deleted = await this.opts.store.delete(name, found.value.version);
            this.opts.observe(deleted.isOk() ? "claim-deleted" : "claim-delete-failed");
            await this.pause(signal);
        }
    }

    private isOwn(prefix: string): boolean {
        const { index, count } = this.opts.share();
        return createHash("sha256").update(prefix).digest().readUInt32BE() % Math.max(1, count) === index;
    }

    private async pause(signal: AbortSignal): Promise<void> {
        const { share, callsPerSecond = DEFAULT_CALLS_PER_SECOND } = this.opts;
        const pauseMs = MS_PER_SECOND * share().count / callsPerSecond;
        await sleep(pauseMs, undefined, { signal }).catch(() => undefined);
    }
}
