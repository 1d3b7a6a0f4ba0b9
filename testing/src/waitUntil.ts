import { setTimeout as sleep } from "node:timers/promises";

const POLL_INTERVAL_MS = 20;

/** Polls the condition every 20 ms until it is true. Rejects if it is still false after `timeoutMs`. */
export async function waitUntil(
    condition: () => boolean | Promise<boolean>,
    timeoutMs: number,
    description = "the condition",
): Promise<void> {
    const endAt = performance.now() + timeoutMs;
    while (!await condition()) {
        if (performance.now() > endAt) {
            throw new Error(`${description}: not met within ${timeoutMs} ms`);
        }
        await sleep(POLL_INTERVAL_MS);
    }
}
