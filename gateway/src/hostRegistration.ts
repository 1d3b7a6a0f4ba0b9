import type { Logger } from "@pistachioreel/logging";
import { setTimeout as sleep } from "node:timers/promises";
import type { AnnouncedHost } from "./announcedHost.js";
import type { PlatformAccess } from "./platformAccess.js";
import type { PlatformState } from "./platformState.js";

interface HostRegistrationOptions {
    readonly host: AnnouncedHost;
    readonly platform: Pick<PlatformAccess, "announce">;
    readonly platformState: Pick<PlatformState, "hasRegistered" | "hostsEra" | "knowsHosts">;
    /** Whether all hosts of the fleet start for the first time, so that none is registered yet. */
    readonly isFirstStart: boolean;
    readonly logger: Logger;
    readonly signal: AbortSignal;
}

/** A host that starts again registers after this time if it has not received the list of hosts. */
const MAX_HOSTS_WAIT_MS = 1_000;
const HOSTS_POLL_INTERVAL_MS = 50;
const MIN_RETRY_MS = 500;

/** Registers a host in the store for the others to discover, unless it is still registered from an earlier start. */
export class HostRegistration {
    constructor(private readonly opts: HostRegistrationOptions) {}

    /** Registers the host whenever the store does not have it, until the signal aborts. */
    async run(): Promise<void> {
        const { host, platform, platformState, isFirstStart, logger, signal } = this.opts;
        if (!isFirstStart) {
            await this.waitForHosts();
        }
        let announcedEra: number | undefined;
        while (!signal.aborted) {
            const { hostsEra } = platformState;
            if (hostsEra !== announcedEra && !platformState.hasRegistered(host)) {
                const announced = await platform.announce(host);
                if (announced.isOk()) {
                    announcedEra = hostsEra;
                }
                else {
                    logger.warn({ event: "announce-failed", fields: { reason: announced.error.message } });
                }
            }
            await this.pause(MIN_RETRY_MS * (1 + Math.random()));
        }
    }

    private async waitForHosts(): Promise<void> {
        for (let waitedMs = 0; waitedMs < MAX_HOSTS_WAIT_MS; waitedMs += HOSTS_POLL_INTERVAL_MS) {
            if (this.opts.platformState.knowsHosts || this.opts.signal.aborted) {
                return;
            }
            await this.pause(HOSTS_POLL_INTERVAL_MS);
        }
    }

    private async pause(ms: number): Promise<void> {
        await sleep(ms, undefined, { signal: this.opts.signal }).catch(() => undefined);
    }
}
