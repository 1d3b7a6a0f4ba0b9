import type { Usage } from "./usage.js";

interface Baseline {
    readonly incarnation: string;
    /** Last numbers that the source reported, by workspace. */
    readonly reported: Map<string, Usage>;
}

const NONE: Usage = [0, 0];

/**
 * Turns numbers that sources report since their own start into increases since their last report. The first report of a
 * source on a link must be complete; later ones may leave out what has not changed.
 */
export class UsageBaselines {
    private readonly baselines = new Map<string, Baseline>();

    /** Increases by workspace. The first report of an incarnation has none: its requests ended before it. */
    increases(sourceId: string, incarnation: string, report: Readonly<Record<string, Usage>>): Map<string, Usage> {
        const previous = this.baselines.get(sourceId);
        const isContinued = previous?.incarnation === incarnation;
        const { reported } = isContinued ? previous : { reported: new Map<string, Usage>() };
        this.baselines.set(sourceId, { incarnation, reported });
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
