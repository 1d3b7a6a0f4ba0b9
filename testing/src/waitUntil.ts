import { setTimeout as sleep } from "node:timers/promises";

const POLL_INTERVAL_MS = 20;

/** Waits until the condition is true. Rejects if it is not within `patienceMs`. */
export async function waitUntil(
    condition: () => boolean | Promise<boolean>,
    timeoutMs: number,
    description = "the condition",
): Promise<void> {
    const endAt = performance.now() + timeoutMs;
    while (!await condition()) {
        if (performance.now() > endAt) {
            throw new Error(`${description} did not come true in ${timeoutMs} ms`);
        }
        await sleep(POLL_INTERVAL_MS);
    }
}
