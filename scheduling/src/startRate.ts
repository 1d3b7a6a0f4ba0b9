/** Time constant of the estimate: long against gaps between starts, short against the time a caller waits. */
const TIME_CONSTANT_MS = 2_000;
/** Time with waiting requests, weighted by its age, below which there is no estimate. */
const MIN_BUSY_MS = 200;

/**
 * Estimates how many waiting requests of a service start per ms. Counts only time in which requests wait, as starts reflect the
 * demand and not the capacity at other times; an estimate is dropped some seconds after the last such time.
 */
export class StartRate {
    private starts = 0;
    private busyMs = 0;
    private isBusy = false;
    private updatedAt = -Infinity;

    recordStart(now: number): void {
        this.advance(now);
        if (this.isBusy) {
            this.starts++;
        }
    }

    /** Records whether requests wait from now on. */
    setBusy(now: number, isBusy: boolean): void {
        this.advance(now);
        this.isBusy = isBusy;
    }

    /** Starts per ms, or `undefined` if too little is known. */
    perMs(now: number): number | undefined {
        this.advance(now);
        return this.busyMs < MIN_BUSY_MS ? undefined : this.starts / this.busyMs;
    }

    private advance(now: number): void {
        const kept = Math.exp((this.updatedAt - now) / TIME_CONSTANT_MS);
        this.starts *= kept;
        this.busyMs = this.busyMs * kept + (this.isBusy ? TIME_CONSTANT_MS * (1 - kept) : 0);
        this.updatedAt = now;
    }
}
