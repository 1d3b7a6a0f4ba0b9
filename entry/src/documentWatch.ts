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
    /** Whether this host is one of the hosts that watch the store on behalf of their zone. */
    readonly isWatcher: () => boolean;
    readonly logger: Logger;
    /** Monotonic time in ms. */
    readonly now: () => number;
    readonly signal: AbortSignal;
}

const WATCHED_DOCUMENTS: readonly DocumentName[] = ["config", "keys", "plan", "roster", "blocks"];
const WATCHED_PREFIX = "documents/";
/** A watch counts as evidence from the time it was sent, so its wait uses up part of the freshness bound of 5 s. */
const WATCH_WAIT_MS = 1_000;
/** A host that is not a watcher reads the store itself after this long without evidence from it. */
const FALLBACK_DELAY_MS = 3_000;
const FALLBACK_JITTER_MS = 500;
const ROLE_CHECK_INTERVAL_MS = 200;
const MIN_BACKOFF_MS = 100;
const MAX_WATCHER_BACKOFF_MS = 3_000;
/** Longer than that of watchers, which detect the recovery of the store for their zone. */
const MAX_FALLBACK_BACKOFF_MS = 10_000;

/** Synchronizes the host's documents with the store: watchers by long polling, other hosts by a rare fallback poll. */
export class DocumentWatch {
    private readonly repository: DocumentRepository;
    private revision = 0;
    private checks = 0;

    constructor(private readonly opts: DocumentWatchOptions) {
        this.repository = new DocumentRepository(opts.store);
    }

    /** Runs until the signal aborts. */
    async run(): Promise<void> {
        const { signal, logger, isWatcher } = this.opts;
        let failures = 0;
        while (!signal.aborted) {
            if (!isWatcher() && !await this.isFallbackDue()) {
                await this.sleepUnlessAborted(ROLE_CHECK_INTERVAL_MS);
                continue;
            }
            const result = await this.watchOnce(isWatcher() ? WATCH_WAIT_MS : 0);
            failures = result.isOk() ? 0 : failures + 1;
            if (result.isErr()) {
                logger.warn({ event: "store-failed", fields: { code: result.error.number, failures } });
                await this.sleepUnlessAborted(
                    backoffMs(failures, isWatcher() ? MAX_WATCHER_BACKOFF_MS : MAX_FALLBACK_BACKOFF_MS),
                );
            }
        }
    }

    /** Whether a host that is not a watcher must read the store: it is starting or lacks recent evidence from it. */
    private async isFallbackDue(): Promise<boolean> {
        const { membership } = this.opts;
        if (this.revision === 0 && membership.storeEvidenceAgeMs === Infinity) {
            return true;
        }
        if (membership.storeEvidenceAgeMs < FALLBACK_DELAY_MS) {
            return false;
        }
        await this.sleepUnlessAborted(Math.random() * FALLBACK_JITTER_MS);
        return membership.storeEvidenceAgeMs >= FALLBACK_DELAY_MS;
    }

    /**
     * Sends one watch and reads the documents that it reports as changed; the first one reads all documents. A store that came
     * back from a copy uses revisions a second time: if the revision goes back, all documents are read, and one document is
     * checked during each watch, whatever it reports.
     */
    private async watchOnce(waitMs: number): Promise<Result<void, Failure>> {
        const sentAt = this.opts.now();
        const isFirst = this.revision === 0;
        const watching = this.opts.store.watch(WATCHED_PREFIX, this.revision, isFirst ? 0 : waitMs);
        const checked = isFirst ? ok(undefined) : await this.refresh(this.nextToCheck());
        const change = await watching;
        if (change.isErr()) {
            return err(change.error);
        }
        const readsAll = isFirst || change.value.revision < this.revision;
        const changed = WATCHED_DOCUMENTS.filter(name => readsAll || change.value.names.includes(pointerName(name)));
        const refreshed = await Promise.all(changed.map(name => this.refresh(name)));
        const failed = refreshed.find(result => result.isErr());
        if (failed !== undefined) {
            return failed;
        }
        this.revision = change.value.revision;
        this.opts.membership.recordStoreRead(sentAt);
        return checked;
    }

    private nextToCheck(): DocumentName {
        return WATCHED_DOCUMENTS[this.checks++ % WATCHED_DOCUMENTS.length]!;
    }

    /** Reads the document and puts it in force if the store has a newer version. */
    private async refresh(name: DocumentName): Promise<Result<void, Failure>> {
        const pointer = await this.repository.readPointer(name);
        if (pointer.isErr()) {
            return err(pointer.error);
        }
        if (pointer.value === undefined || pointer.value.version <= this.opts.state.versionOf(name)) {
            return ok(undefined);
        }
        const read = await this.repository.readParts(name, pointer.value);
        return read.andThen(document => this.opts.state.applyIfNewer(document)).map(() => undefined);
    }

    private async sleepUnlessAborted(ms: number): Promise<void> {
        await sleep(ms, undefined, { signal: this.opts.signal }).catch(() => undefined);
    }
}

/** Exponential backoff with full jitter, which spreads the calls of all hosts when the store recovers. */
function backoffMs(failures: number, maxMs: number): number {
    return Math.random() * Math.min(maxMs, MIN_BACKOFF_MS * 2 ** failures);
}
