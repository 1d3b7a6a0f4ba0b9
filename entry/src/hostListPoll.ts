import type { HostList } from "@pistachioreel/platform-store";
import { setTimeout as sleep } from "node:timers/promises";
import type { FleetState } from "./fleetState.js";

const POLL_INTERVAL_MS = 2_000;
const JITTER_SHARE = 0.2;

/** Reads the platform's list of hosts until the signal aborts. A failed read keeps the last list. */
export async function pollHostList(list: HostList, state: FleetState, signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
        const hosts = await list.hosts();
        if (hosts.isOk()) {
            state.hosts = hosts.value;
        }
        const jitterMs = (Math.random() - 0.5) * 2 * JITTER_SHARE * POLL_INTERVAL_MS;
        await sleep(POLL_INTERVAL_MS + jitterMs, undefined, { signal }).catch(() => undefined);
    }
}
