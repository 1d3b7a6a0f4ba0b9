import { BlockMapRepository } from "@pistachioreel/documents";
import type { Logger } from "@pistachioreel/logging";
import { type BlockPart, BlockTable, decodePart } from "@pistachioreel/lookup";
import type { ObjectStore } from "@pistachioreel/platform-store";
import type { Failure } from "@pistachioreel/result-code";
import { err, ok, type Result } from "neverthrow";
import { setTimeout as sleep } from "node:timers/promises";
import type { FleetState } from "./fleetState.js";

interface BlockMapLoaderOptions {
    readonly store: ObjectStore;
    readonly state: FleetState;
    readonly logger: Logger;
    readonly signal: AbortSignal;
    readonly random?: () => number;
}

/** Upper bound of a random delay that spreads the reads of a changed part: 500 hosts make 250 reads a second. */
const MAX_UPDATE_DELAY_MS = 2_000;
const MIN_BACKOFF_MS = 200;
const MAX_BACKOFF_MS = 3_000;
const MAX_CONCURRENT_READS = 4;

/**
 * Loads the block table that the document `blocks` describes. Only parts that are not in memory are read, and the table
 * is replaced in one assignment once all parts are loaded. Until then, and while the store fails, the previous table
 * stays in force.
 */
export class BlockMapLoader {
    private readonly repository: BlockMapRepository;
    private readonly random: () => number;
    private parts = new Map<string, BlockPart>();
    private loadedVersion = 0;
    private notifyChange: () => void = () => {};

    constructor(private readonly opts: BlockMapLoaderOptions) {
        this.repository = new BlockMapRepository(opts.store);
        this.random = opts.random ?? Math.random;
        opts.state.onChange(name => name === "blocks" && this.notifyChange());
    }

    /** Runs until the signal aborts. */
    async run(): Promise<void> {
        const { state, signal, logger } = this.opts;
        signal.addEventListener("abort", () => this.notifyChange());
        let failures = 0;
        while (!signal.aborted) {
            if (state.versionOf("blocks") === this.loadedVersion) {
                await new Promise<void>(resolve => this.notifyChange = resolve);
                continue;
            }
            // No delay on the first load; repeated attempts are already spread by their backoff.
            if (failures === 0 && this.loadedVersion > 0) {
                await this.sleepUnlessAborted(this.random() * MAX_UPDATE_DELAY_MS);
            }
            const loaded = await this.load();
            failures = loaded.isOk() ? 0 : failures + 1;
            if (loaded.isErr()) {
                logger.warn({ event: "block-map-failed", fields: { code: loaded.error.number, failures } });
                await this.sleepUnlessAborted(this.random() * Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2 ** failures));
            }
        }
    }

    private async load(): Promise<Result<void, Failure>> {
        const { state, logger } = this.opts;
        const document = state.documentOf("blocks");
        if (document === undefined) {
            return ok(undefined);
        }
        const content = BlockMapRepository.parse(document.content);
        if (content.isErr()) {
            return err(content.error);
        }
        const digests = content.value.parts;
        const read = await this.readMissing(digests.filter(digest => !this.parts.has(digest)));
        if (read.isErr()) {
            return err(read.error);
        }
        this.parts = new Map(digests.map(digest => [digest, this.parts.get(digest) as BlockPart]));
        this.loadedVersion = document.version;
        state.blockTable = new BlockTable([...this.parts.values()]);
        const { blockCount: blocks, bytes } = state.blockTable;
        logger.info({ event: "block-map-in-force", fields: { version: document.version, blocks, bytes } });
        return ok(undefined);
    }

    /** Reads parts concurrently. Those already read are kept after a failure, so that a retry reads only the rest. */
    private async readMissing(digests: readonly string[]): Promise<Result<void, Failure>> {
        const queue = [...digests];
        let failure: Failure | undefined;
        const worker = async () => {
            for (let digest = queue.shift(); digest !== undefined && failure === undefined; digest = queue.shift()) {
                const text = await this.repository.readPart(digest);
                const part = text.andThen(encoded => decodePart(digest as string, encoded));
                if (part.isErr()) {
                    failure = part.error;
                    return;
                }
                this.parts.set(digest, part.value);
            }
        };
        await Promise.all(Array.from({ length: MAX_CONCURRENT_READS }, worker));
        return failure === undefined ? ok(undefined) : err(failure);
    }

    private async sleepUnlessAborted(ms: number): Promise<void> {
        await sleep(ms, undefined, { signal: this.opts.signal }).catch(() => undefined);
    }
}
