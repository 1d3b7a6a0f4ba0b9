import { setImmediate as nextCheck } from "node:timers/promises";

interface EventLoopBarrierOptions {
    /** Monotonic time in ms. */
    readonly now: () => number;
}

/** After this time, in ms, the process reads from its connections before it lets more requests pass. */
const MAX_PASSING_MS = 100;

/**
 * Lets a request pass after all connections have been read once more. A process that was paused or is overloaded reads a
 * request late; that its caller has left meanwhile shows only when the connection is read again.
 */
export class EventLoopBarrier {
    /** Monotonic time in ms at which requests began to pass in this turn of the event loop. */
    private passingSince: number | undefined;

    constructor(private readonly opts: EventLoopBarrierOptions) {}

    async wait(): Promise<void> {
        do {
            // The first check follows the reading that is under way, the second one a new one.
            await nextCheck();
            await nextCheck();
        }
        while (this.isSpent());
    }

    private isSpent(): boolean {
        if (this.passingSince === undefined) {
            this.passingSince = this.opts.now();
            setImmediate(() => this.passingSince = undefined);
        }
        return this.opts.now() - this.passingSince > MAX_PASSING_MS;
    }
}
