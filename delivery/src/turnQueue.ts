type Settle = (granted: boolean) => void;

/** Lets one holder at a time have the turn of a suspect; on the suspect's home host. */
export class TurnQueue {
    private readonly waiting: Settle[] = [];
    private leaseTimer: NodeJS.Timeout | undefined;

    /** Waits for the turn; false if it did not come within the time. The turn lapses after `leaseMs`. */
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

    /** Ends the turn and gives it to the next that waits. */
    passOn(): void {
        clearTimeout(this.leaseTimer);
        this.leaseTimer = undefined;
        this.waiting.shift()?.(true);
    }

    /** Ends the turn and sends all that wait away, to look at the suspect's state again. */
    releaseAll(): void {
        clearTimeout(this.leaseTimer);
        this.leaseTimer = undefined;
        this.waiting.splice(0).forEach(settle => settle(false));
    }
}
