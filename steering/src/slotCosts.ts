/** Weight of the newest sample in the exponential moving averages. */
const SMOOTHING_FACTOR = 0.1;

/** Exponentially weighted mean slot time of the requests of a service, by workspace. */
export class SlotCosts {
    private readonly meansMs = new Map<string, number>();
    private overallMs: number | undefined;

    /** Records that a request held its slot for `slotMs`. */
    record(workspace: string, slotMs: number): void {
        this.meansMs.set(workspace, smooth(this.meansMs.get(workspace), slotMs));
        this.overallMs = smooth(this.overallMs, slotMs);
    }

    /** Expected slot time of a request of the workspace, relative to the mean request of the service. */
    costOf(workspace: string): number {
        const meanMs = this.meansMs.get(workspace);
        return meanMs === undefined || this.overallMs === undefined || this.overallMs === 0
            ? 1
            : meanMs / this.overallMs;
    }
}

function smooth(mean: number | undefined, value: number): number {
    return mean === undefined ? value : mean + SMOOTHING_FACTOR * (value - mean);
}
