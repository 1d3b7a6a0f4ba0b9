import type { Pool } from "undici";
import type { AttemptResult } from "./attemptResult.js";
import { StrayResponse } from "./strayResponse.js";

const PROBE_TIMEOUT_MS = 500;

/**
 * Whether an attempt broke because its target is gone. A target that still responds to `GET /load` only lost a
 * connection. If none of the other targets respond either, this host is cut off, and the broken attempt is no evidence
 * against the request.
 *
 * @param others Pools of other targets of the service.
 */
export async function isTargetLost(
    { end, cause, stoppedBy }: AttemptResult,
    pool: Pool,
    others: readonly Pool[],
): Promise<boolean> {
    if (end !== "broken" || stoppedBy !== undefined || cause instanceof StrayResponse) {
        return false;
    }
    const [hasResponded, ...otherResponses] = await Promise.all([pool, ...others].map(respondsToProbe));
    return !hasResponded && otherResponses.includes(true);
}

async function respondsToProbe(pool: Pool): Promise<boolean> {
    try {
        const { body } = await pool.request({
            method: "GET",
            path: "/load",
            reset: true,
            signal: AbortSignal.timeout(PROBE_TIMEOUT_MS),
        });
        await body.dump();
        return true;
    }
    catch {
        return false;
    }
}
