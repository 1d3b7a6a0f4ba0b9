/** Resolves a wait: with the turn, or without it. */
type Settle = (granted: boolean) => void;

/** Queue on a suspect's coordinating host that lets one request at a time have the turn. */
export class TurnQueue {
    private readonly waiting: Settle[] = [];
    private leaseTimer: NodeJS.Timeout | undefined;

    /** Waits for the turn; false on a timeout or {@link releaseAll}. The turn expires after `leaseMs`. */
    wait(timeoutMs: number, leaseMs: number): Promise<boolean> {
        return new Promise(resolve => {
            const settle: Settle = granted => {
                clearTimeout(timer);
                if (granted) {
                    this.leaseTimer = setTimeout(() => this.passOn(), leaseMs);
                }
                resolve(granted);
            };
            const timer = setTimeout(() => {
                this.waiting.splice(this.waiting.indexOf(settle), 1);
                resolve(false);
            }, timeoutMs);
            this.waiting.push(settle);
            if (this.leaseTimer === undefined) {
                this.passOn();
            }
        });
    }

    /** Ends the turn and gives it to the next in the queue. */
    passOn(): void {
        clearTimeout(this.leaseTimer);
        this.leaseTimer = undefined;
        this.waiting.shift()?.(true);
    }

    /** Ends the turn and resolves all waits with false, so that the waiters check the suspect's state again. */
    releaseAll(): void {
        clearTimeout(this.leaseTimer);
        this.leaseTimer = undefined;
        this.waiting.splice(0).forEach(settle => settle(false));
    }
}
