import { setTimeout as sleep } from "node:timers/promises";
import type { RequestListener } from "./requestListener.js";

interface ListenerDrainOptions {
    readonly listener: Pick<RequestListener, "connections" | "running" | "server">;
    /** Time from the arrival of the signal after which the process is killed, in ms. */
    readonly stopTimeoutMs: number;
    /** Earliest monotonic time in ms at which the signal can have arrived. */
    readonly signalledAt: number;
    /** Monotonic time in ms. */
    readonly now: () => number;
}

/** Share of the stop timeout in which new requests of callers are still served. */
const CALLER_DEPARTURE_SHARE = 0.6;
/** Callers that look up the hosts again have moved to others this long after the start of a shutdown. */
const MIN_CALLER_DEPARTURE_MS = 2_600;
/** The process ends by itself this long before the stop timeout, or this share of a short one. */
const STOP_MARGIN_MS = 400;
const MAX_STOP_MARGIN_SHARE = 0.1;
const POLL_INTERVAL_MS = 20;

/** Lets the callers of a host that is shutting down move to others, and its running requests end. */
export class ListenerDrain {
    private readonly startedAt: number;

    constructor(private readonly opts: ListenerDrainOptions) {
        const { signalledAt, stopTimeoutMs, now } = opts;
        // Whatever sent the signal does not end the process, if it has not done so by then.
        this.startedAt = now() - signalledAt < stopTimeoutMs ? signalledAt : now();
    }

    /** Monotonic time in ms at which requests that are still running are cut off. */
    get endsAt(): number {
        const { stopTimeoutMs } = this.opts;
        return this.startedAt + stopTimeoutMs - Math.min(STOP_MARGIN_MS, stopTimeoutMs * MAX_STOP_MARGIN_SHARE);
    }

    /**
     * Serves callers until they have disconnected, closes the listener and waits for the running requests. Returns
     * whether all of them have ended in time.
     */
    async run(): Promise<boolean> {
        const { listener } = this.opts;
        await this.waitForCallersToLeave();
        listener.server.close();
        while (listener.running > 0 && this.opts.now() < this.endsAt) {
            await sleep(POLL_INTERVAL_MS);
        }
        return listener.running === 0;
    }

    private async waitForCallersToLeave(): Promise<void> {
        const { listener, stopTimeoutMs } = this.opts;
        const mustServe = () => listener.connections > 0 || this.elapsedMs < MIN_CALLER_DEPARTURE_MS;
        while (this.elapsedMs < stopTimeoutMs * CALLER_DEPARTURE_SHARE && mustServe()) {
            await sleep(POLL_INTERVAL_MS);
        }
    }

    private get elapsedMs(): number {
        return this.opts.now() - this.startedAt;
    }
}
