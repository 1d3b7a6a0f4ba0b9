import type { CrashSuspects } from "@pistachioreel/delivery";
import type { Logger } from "@pistachioreel/logging";
import { type Target, targetKey } from "@pistachioreel/placement";
import type { TargetReach } from "./targetReach.js";

interface LossReviewOptions {
    readonly suspects: Pick<CrashSuspects, "withdrawTarget" | "withdrawSince">;
    readonly reach: Pick<TargetReach, "isReachedElsewhere" | "onCutOff">;
    readonly logger: Logger;
    /** Monotonic time in ms. */
    readonly now: () => number;
}

/** Losses this long before a host is found to be cut off have that cause: attempts wait and checks take time. */
const CUT_EVIDENCE_MS = 3_000;

/**
 * Reviews losses of targets that count against requests: this host withdraws them if another host reaches the target, or if this
 * host turns out to have lost the way to all targets.
 */
export class LossReview {
    /** Keys of the targets of which other hosts are being asked. */
    private readonly asked = new Set<string>();

    constructor(private readonly opts: LossReviewOptions) {
        const { suspects, reach, now } = opts;
        reach.onCutOff(() => suspects.withdrawSince(now() - CUT_EVIDENCE_MS));
    }

    /** Asks other hosts whether they reach a target that this host has just lost. */
    review(target: Target): void {
        const key = targetKey(target);
        if (this.asked.has(key)) {
            return;
        }
        this.asked.add(key);
        void this.ask(target).finally(() => this.asked.delete(key));
    }

    private async ask(target: Target): Promise<void> {
        try {
            if (await this.opts.reach.isReachedElsewhere(target)) {
                this.opts.suspects.withdrawTarget(target.id);
            }
        }
        catch (cause) {
            this.opts.logger.error({ event: "loss-review-failed", fields: { reason: String(cause) } });
        }
    }
}
