import { setTimeout as sleep } from "node:timers/promises";
import type { DeliveryObserver } from "./deliveryObserver.js";
import type { IdempotencyClaim } from "./idempotencyClaim.js";

/** Claims that wait for their repair; further ones stay `claimed`, so that their repeats get "outcome unknown". */
const MAX_QUEUED_CLAIMS = 1_000;
const MIN_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 5_000;
/** Two store calls for each repair, so that the repairs of ten hosts after an outage stay below 400 calls a second. */
const REPAIR_INTERVAL_MS = 50;

/** Marks claims that refused requests may have left in the store as not run, one after the other. */
export class ClaimRepairQueue {
    private readonly waiting: IdempotencyClaim[] = [];
    private running: Promise<void> | undefined;

    constructor(private readonly observe: DeliveryObserver) {}

    add(claim: IdempotencyClaim): void {
        if (this.waiting.length >= MAX_QUEUED_CLAIMS) {
            this.observe("claim-left");
            return;
        }
        this.waiting.push(claim);
        this.running ??= this.run().finally(() => this.running = undefined);
    }

    /** Resolves when no claim waits. */
    async idle(): Promise<void> {
        await this.running;
    }

    private async run(): Promise<void> {
        for (let failures = 0; this.waiting.length > 0;) {
            const repaired = await (this.waiting[0] as IdempotencyClaim).repair();
            if (repaired.isOk()) {
                this.waiting.shift();
                failures = 0;
                this.observe("claim-repaired");
                await sleep(REPAIR_INTERVAL_MS, undefined, { ref: false });
            }
            else {
                failures++;
                const backoffMs = Math.random() * Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2 ** failures);
                await sleep(backoffMs, undefined, { ref: false });
            }
        }
    }
}
