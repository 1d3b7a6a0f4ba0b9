import type { Usage } from "./usage.js";

type Increases = ReadonlyMap<string, Usage>;

/**
 * Usage that the relays of one availability zone report, of which one relay counts at a time. Keeps what the others have
 * reported since the last report of that one, so that nothing is missed when another relay takes its place: a lost relay is
 * noticed only after some report intervals, in which hosts would take the tokens of its zone as unused.
 */
export class RelayUsage {
    private usedId: string | undefined;
    private readonly deferred = new Map<string, Map<string, Usage>>();

    /** Records a report, and returns the increases that count now. */
    record(hostId: string, increases: Increases, { isUsed }: { readonly isUsed: boolean; }): Increases {
        const kept = this.deferred.get(hostId);
        if (!isUsed) {
            // The first report after one of the used relay is about the same time, so its increases have been counted.
            this.deferred.set(hostId, kept === undefined ? new Map() : addAll(kept, increases));
            return new Map();
        }
        const isNew = this.usedId !== hostId && kept !== undefined;
        this.usedId = hostId;
        this.deferred.clear();
        return isNew ? addAll(kept, increases) : increases;
    }
}

function addAll(sums: Map<string, Usage>, increases: Increases): Map<string, Usage> {
    for (const [workspace, [requested, admitted]] of increases) {
        const before = sums.get(workspace) ?? [0, 0];
        sums.set(workspace, [before[0] + requested, before[1] + admitted]);
    }
    return sums;
}
