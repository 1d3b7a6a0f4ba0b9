import { RetryBudget } from "@pistachioreel/delivery";
import { monotonicNow } from "@pistachioreel/runtime";
import type { GatewaySettings } from "./settings.js";

const MS_PER_SECOND = 1_000;
/**
 * Share of the fleet's retry budget that is allocated to hosts. Their budgets add up; the rest is a margin for hosts
 * that restart with a full budget.
 */
const ALLOCATED_RETRY_SHARE = 0.75;

/** Creates this host's part of the fleet's retry budget for one service. */
export function createRetryBudget(
    { retryShare, retrySlack, retryWindow }: Pick<GatewaySettings, "retryShare" | "retrySlack" | "retryWindow">,
    hostCount: () => number,
): RetryBudget {
    const slackPerSecond = retrySlack * ALLOCATED_RETRY_SHARE / (retryWindow / MS_PER_SECOND);
    return new RetryBudget({
        now: monotonicNow,
        share: retryShare * ALLOCATED_RETRY_SHARE,
        get minPerSecond() {
            return slackPerSecond / hostCount();
        },
    });
}
