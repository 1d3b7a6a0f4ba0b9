import { type DocumentName, DocumentRepository, pointerName } from "@pistachioreel/documents";
import type { Logger } from "@pistachioreel/logging";
import type { Membership } from "@pistachioreel/membership";
import type { ObjectStore } from "@pistachioreel/platform-store";
import type { Failure } from "@pistachioreel/result-code";
import { err, ok, type Result } from "neverthrow";
import { setTimeout as sleep } from "node:timers/promises";
import type { FleetState } from "./fleetState.js";

interface DocumentWatchOptions {
    readonly store: ObjectStore;
    readonly state: FleetState;
    readonly membership: Membership;
    /** Whether this host is one of those of its zone that watch the store for the others. */
    readonly isWatcher: () => boolean;
    readonly logger: Logger;
    /** Monotonic time in ms. */
    readonly now: () => number;
    readonly signal: AbortSignal;
}

const WATCHED: readonly DocumentName[] = ["config", "keys", "plan", "roster", "blocks"];
const WATCHED_PREFIX = "documents/";
/** A watch is evidence from the time it was sent, so its wait is a part of the freshness bound of 5 s. */
const WATCH_WAIT_MS = 1_000;
/** A host that is no watcher reads the store itself after this long without evidence from the store. */
const FALLBACK_AFTER_MS = 3_000;
const FALLBACK_JITTER_MS = 500;
const ROLE_CHECK_MS = 200;
const MIN_BACKOFF_MS = 100;
const MAX_WATCHER_BACKOFF_MS = 3_000;
/** The watchers of the zone find out first that the store is back. */
const MAX_FALLBACK_BACKOFF_MS = 10_000;

/** Keeps the documents of a host equal to those of the store, by a watch or, where others watch, by a rare poll. */
export class DocumentWatch {
    private readonly repository: DocumentRepository;
    private revision = 0;

    constructor(private readonly opts: DocumentWatchOptions) {
        this.repository = new DocumentRepository(opts.store);
    }

    /** Runs until the signal aborts. */
    async run(): Promise<void> {
        const { signal, logger, isWatcher } = this.opts;
        let failures = 0;
        while (!signal.aborted) {
            if (!isWatcher() && !await this.isFallbackDue()) {
                await this.pause(ROLE_CHECK_MS);
                continue;
            }
            const read = await this.readOnce(isWatcher() ? WATCH_WAIT_MS : 0);
            failures = read.isOk() ? 0 : failures + 1;
            if (read.isErr()) {
                logger.warn({ event: "store-failed", fields: { code: read.error.number, failures } });
                await this.pause(backoffMs(failures, isWatcher() ? MAX_WATCHER_BACKOFF_MS : MAX_FALLBACK_BACKOFF_MS));
            }
        }
    }

    private async isFallbackDue(): Promise<boolean> {
        const { membership } = this.opts;
        if (this.revision === 0 && membership.storeEvidenceAgeMs === Infinity) {
            return true;
        }
        if (membership.storeEvidenceAgeMs < FALLBACK_AFTER_MS) {
            return false;
        }
        await this.pause(Math.random() * FALLBACK_JITTER_MS);
        return membership.storeEvidenceAgeMs >= FALLBACK_AFTER_MS;
    }

    /** One watch, and reads of what it shows as changed. */
    private async readOnce(waitMs: number): Promise<Result<void, Failure>> {
        const sentAt = this.opts.now();
        const isFirst = this.revision === 0;
        const change = await this.opts.store.watch(WATCHED_PREFIX, this.revision, isFirst ? 0 : waitMs);
        if (change.isErr()) {
            return err(change.error);
        }
        const changed = WATCHED.filter(name => isFirst || change.value.names.includes(pointerName(name)));
        const refreshed = await Promise.all(changed.map(name => this.refresh(name)));
        const failed = refreshed.find(result => result.isErr());
        if (failed !== undefined) {
            return failed;
        }
        this.revision = change.value.revision;
        this.opts.membership.recordStoreRead(sentAt);
        return ok(undefined);
    }

    private async refresh(name: DocumentName): Promise<Result<void, Failure>> {
        const pointer = await this.repository.readPointer(name);
        if (pointer.isErr()) {
            return err(pointer.error);
        }
        if (pointer.value === undefined || pointer.value.version <= this.opts.state.versionOf(name)) {
            return ok(undefined);
        }
        const document = await this.repository.readParts(name, pointer.value);
        return document.andThen(found => this.opts.state.accept(found)).map(() => undefined);
    }

    private async pause(ms: number): Promise<void> {
        await sleep(ms, undefined, { signal: this.opts.signal }).catch(() => undefined);
    }
}

/** Full jitter spreads the calls of all hosts when the store returns. */
function backoffMs(failures: number, maxMs: number): number {
    return Math.random() * Math.min(maxMs, MIN_BACKOFF_MS * 2 ** failures);
}
