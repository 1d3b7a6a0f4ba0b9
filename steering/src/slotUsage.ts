/** Counts the requests that this host has running on each target. */
export class SlotUsage {
    private readonly running = new Map<string, number>();

    runningOn(targetId: string): number {
        return this.running.get(targetId) ?? 0;
    }

    /** Ids of the targets with running requests, and the number of these. */
    entries(): IterableIterator<[string, number]> {
        return this.running.entries();
    }

    /** Occupies a slot until the returned release function is called; later calls of it have no effect. */
    acquire(targetId: string): () => void {
        this.running.set(targetId, this.runningOn(targetId) + 1);
        let released = false;
        return () => {
            if (!released) {
                released = true;
                this.release(targetId);
            }
        };
    }

    private release(targetId: string): void {
        const left = this.runningOn(targetId) - 1;
        if (left > 0) {
            this.running.set(targetId, left);
        }
        else {
            this.running.delete(targetId);
        }
    }
}
