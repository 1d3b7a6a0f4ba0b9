import { setImmediate as nextCheck } from "node:timers/promises";

interface EventLoopBarrierOptions {
    /** Monotonic time in ms. */
    readonly now: () => number;
}

/** Time for which requests are released in one iteration of the event loop; then the sockets are read again first. */
const MAX_RELEASE_MS = 100;

/**
 * Delays a request until the event loop has polled all sockets once more. A process that was paused or is overloaded
 * reads a request late; that its caller has disconnected meanwhile shows only when its socket is read again.
 */
export class EventLoopBarrier {
    /** Monotonic time in ms of the first release in this iteration of the event loop. */
    private releasingSince: number | undefined;

    constructor(private readonly opts: EventLoopBarrierOptions) {}

    /** Resolves after the sockets have been polled. */
    async wait(): Promise<void> {
        do {
            // The first check phase follows the poll phase that is in progress, the second one a complete poll phase.
            await nextCheck();
            await nextCheck();
        }
        while (this.isReleaseOver());
    }

    private isReleaseOver(): boolean {
        if (this.releasingSince === undefined) {
            this.releasingSince = this.opts.now();
            setImmediate(() => this.releasingSince = undefined);
        }
        return this.opts.now() - this.releasingSince > MAX_RELEASE_MS;
    }
}
