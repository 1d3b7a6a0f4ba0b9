import type { Pool } from "undici";
import type { AttemptResult } from "./attemptResult.js";
import { StrayResponse } from "./strayResponse.js";

const PROBE_TIMEOUT_MS = 500;

/** Whether an attempt broke because its target is gone: a target that still answers `GET /load` only lost a connection. */
export async function isTargetLost({ end, cause, stoppedBy }: AttemptResult, pool: Pool): Promise<boolean> {
    if (end !== "broken" || stoppedBy !== undefined || cause instanceof StrayResponse) {
        return false;
    }
    try {
        const { body } = await pool.request({
            method: "GET",
            path: "/load",
            reset: true,
            signal: AbortSignal.timeout(PROBE_TIMEOUT_MS),
        });
        await body.dump();
        return false;
    }
    catch {
        return true;
    }
}
