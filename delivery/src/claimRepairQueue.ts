import { setTimeout as sleep } from "node:timers/promises";
import type { DeliveryObserver } from "./deliveryObserver.js";
import type { IdempotencyClaim } from "./idempotencyClaim.js";

/** Largest number of queued claims. Further ones stay `claimed`, so that repeats of them get "outcome unknown". */
const MAX_QUEUED_CLAIMS = 1_000;
const MIN_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 5_000;
/** With two store calls for each repair, ten hosts make fewer than 400 calls per second after a store outage. */
const REPAIR_INTERVAL_MS = 50;

/** Marks the claims that refused requests may have left in the store as not run, one at a time. */
export class ClaimRepairQueue {
    private readonly waiting: IdempotencyClaim[] = [];
    private running: Promise<void> | undefined;

    constructor(private readonly observe: DeliveryObserver) {}

    /** Queues a claim for repair, unless the queue is full. */
    add(claim: IdempotencyClaim): void {
        if (this.waiting.length >= MAX_QUEUED_CLAIMS) {
            this.observe("claim-left");
            return;
        }
        this.waiting.push(claim);
        this.running ??= this.run().finally(() => this.running = undefined);
    }

    /** Resolves when the queue is empty. */
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
