import type { Usage } from "./usage.js";

interface Baseline {
    readonly incarnation: string;
    /** Last numbers that the source reported, by workspace. */
    readonly reported: Map<string, Usage>;
    /** Monotonic time in ms of the last report. */
    readonly at: number;
}

interface UsageBaselinesOptions {
    /** Longest time between two reports of a source after which its requests in between still count, in ms. */
    readonly maxGapMs: number;
    /** Monotonic time in ms. */
    readonly now: () => number;
}

const NONE: Usage = [0, 0];

/**
 * Turns numbers that sources report since their own start into increases since their last report. The first report of a
 * source on a link must be complete; later ones may leave out what has not changed. What a source has reported to nobody
 * here for a longer time has been learned from another one, or was outside the part of the limits that this host used.
 */
export class UsageBaselines {
    private readonly baselines = new Map<string, Baseline>();

    constructor(private readonly opts: UsageBaselinesOptions) {}

    /** Increases by workspace. The first report of an incarnation has none: its requests ended before it. */
    increases(sourceId: string, incarnation: string, report: Readonly<Record<string, Usage>>): Map<string, Usage> {
        const previous = this.baselines.get(sourceId);
        const at = this.opts.now();
        const isSame = previous?.incarnation === incarnation;
        const isContinued = isSame && at - previous.at <= this.opts.maxGapMs;
        const reported = isSame ? previous.reported : new Map<string, Usage>();
        this.baselines.set(sourceId, { incarnation, reported, at });
        const increases = new Map<string, Usage>();
        for (const [workspace, usage] of Object.entries(report)) {
            const before = isContinued ? reported.get(workspace) ?? NONE : usage;
            reported.set(workspace, usage);
            const increase: Usage = [Math.max(0, usage[0] - before[0]), Math.max(0, usage[1] - before[1])];
            if (increase[0] > 0 || increase[1] > 0) {
                increases.set(workspace, increase);
            }
        }
        return increases;
    }
}
