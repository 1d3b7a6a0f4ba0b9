import type { HostList, ListedHost } from "@pistachioreel/platform-store";
import { setTimeout as sleep } from "node:timers/promises";

const POLL_INTERVAL_MS = 2_000;
const JITTER_SHARE = 0.2;

/** Polls the platform's list of hosts until the signal aborts. If a read fails, the previous list stays in force. */
export async function pollHostList(
    list: HostList,
    onHosts: (hosts: readonly ListedHost[]) => void,
    signal: AbortSignal,
): Promise<void> {
    while (!signal.aborted) {
        const hosts = await list.hosts();
        if (hosts.isOk()) {
            onHosts(hosts.value);
        }
        const jitterMs = (Math.random() - 0.5) * 2 * JITTER_SHARE * POLL_INTERVAL_MS;
        await sleep(POLL_INTERVAL_MS + jitterMs, undefined, { signal }).catch(() => undefined);
    }
}
