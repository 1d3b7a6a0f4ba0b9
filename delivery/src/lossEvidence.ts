/** A target that a host has lost while the target ran a request. */
interface Loss {
    readonly targetId: string;
    readonly hostId: string;
    /** Monotonic time of this host, in ms. */
    readonly lostAt: number;
}

/** Losses of targets that count against one request, by the hosts that have seen them. */
export class LossEvidence {
    private losses: readonly Loss[] = [];

    /** Ids of the targets; each counts once, however many hosts have lost it. */
    get targetIds(): ReadonlySet<string> {
        return new Set(this.losses.map(({ targetId }) => targetId));
    }

    /** Losses that one host has seen. */
    ofHost(hostId: string): readonly Loss[] {
        return this.losses.filter(loss => loss.hostId === hostId);
    }

    /** Adds a loss, unless this host has it already. */
    add(loss: Loss): void {
        if (!this.has(loss)) {
            this.losses = [...this.losses, loss];
        }
    }

    /** Removes what a host has seen of these targets; returns whether there was any. */
    withdraw(hostId: string, targetIds: readonly string[]): boolean {
        const kept = this.losses.filter(loss => loss.hostId !== hostId || !targetIds.includes(loss.targetId));
        const hasChanged = kept.length < this.losses.length;
        this.losses = kept;
        return hasChanged;
    }

    /** For the log: `target@host` and the age in ms of each loss. */
    describe(now: number): string {
        return this.losses.map(({ targetId, hostId, lostAt }) => `${targetId}@${hostId}/${Math.round(now - lostAt)}`)
            .join(",");
    }

    private has({ targetId, hostId }: Loss): boolean {
        return this.losses.some(known => known.targetId === targetId && known.hostId === hostId);
    }
}
