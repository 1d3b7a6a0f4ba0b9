import type { Usage } from "./usage.js";

const NONE: Usage = [0, 0];

/** Sums of requests by workspace, over all sources and for each of them. They never decrease, even if a source leaves. */
export class UsageTotals {
    private readonly all = new Map<string, Usage>();
    private readonly bySource = new Map<string, Map<string, Usage>>();

    add(sourceId: string, increases: ReadonlyMap<string, Usage>): void {
        let source = this.bySource.get(sourceId);
        if (source === undefined) {
            source = new Map();
            this.bySource.set(sourceId, source);
        }
        for (const [workspace, increase] of increases) {
            source.set(workspace, plus(source.get(workspace), increase));
            this.all.set(workspace, plus(this.all.get(workspace), increase));
        }
    }

    /** Sums over all sources but the given ones. */
    without(...sourceIds: readonly string[]): Map<string, Usage> {
        const excluded = sourceIds.map(id => this.bySource.get(id)).filter(source => source !== undefined);
        const sums = new Map<string, Usage>();
        for (const [workspace, total] of this.all) {
            const sum = excluded.reduce(
                (rest, source) => minus(rest, source.get(workspace)),
                total,
            );
            sums.set(workspace, sum);
        }
        return sums;
    }
}

function plus(a: Usage = NONE, b: Usage): Usage {
    return [a[0] + b[0], a[1] + b[1]];
}

function minus(a: Usage, b: Usage = NONE): Usage {
    return [a[0] - b[0], a[1] - b[1]];
}
