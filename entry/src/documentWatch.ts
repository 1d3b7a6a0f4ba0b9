import { type DocumentName, DocumentRepository } from "@pistachioreel/documents";
import type { Logger } from "@pistachioreel/logging";
import type { ObjectStore } from "@pistachioreel/platform-store";
import type { Failure } from "@pistachioreel/result-code";
import { err, ok, type Result } from "neverthrow";
import { setTimeout as sleep } from "node:timers/promises";
import type { FleetState } from "./fleetState.js";

interface DocumentWatchOptions {
    readonly store: ObjectStore;
    readonly state: FleetState;
    readonly logger: Logger;
    readonly signal: AbortSignal;
}

const WATCHED: readonly DocumentName[] = ["config", "keys", "plan", "roster", "blocks"];
const WATCH_WAIT_MS = 5_000;
const MIN_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 3_000;

/** Keeps the documents of a host equal to those of the store. */
export class DocumentWatch {
    private readonly repository: DocumentRepository;

    constructor(private readonly opts: DocumentWatchOptions) {
        this.repository = new DocumentRepository(opts.store);
    }

    /** Runs until the signal aborts. */
    async run(): Promise<void> {
        let revision = 0;
        let failures = 0;
        while (!this.opts.signal.aborted) {
            const next = await this.runOnce(revision);
            if (next.isOk()) {
                revision = next.value;
                failures = 0;
                continue;
            }
            failures++;
            this.opts.logger.warn({ event: "store-failed", fields: { code: next.error.number, failures } });
            await sleep(backoffMs(failures), undefined, { signal: this.opts.signal }).catch(() => undefined);
        }
    }

    private async runOnce(revision: number): Promise<Result<number, Failure>> {
        const change = await this.opts.store.watch("", revision, revision === 0 ? 0 : WATCH_WAIT_MS);
        if (change.isErr()) {
            return err(change.error);
        }
        for (const name of WATCHED) {
            if (revision === 0 || change.value.names.includes(`${name}/current`)) {
                const refreshed = await this.refresh(name);
                if (refreshed.isErr()) {
                    return err(refreshed.error);
                }
            }
        }
        return ok(change.value.revision);
    }

    private async refresh(name: DocumentName): Promise<Result<void, Failure>> {
        const document = await this.repository.read(name);
        return document.andThen(found =>
            found === undefined ? ok(undefined) : this.opts.state.accept(found).map(() => undefined)
        );
    }
}

/** Full jitter spreads the calls of all hosts when the store returns. */
function backoffMs(failures: number): number {
    return Math.random() * Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2 ** failures);
}
