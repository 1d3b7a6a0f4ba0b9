/** Counts the requests that this host has running on each target. */
export class SlotUsage {
    private readonly running = new Map<string, number>();

    runningOn(targetId: string): number {
        return this.running.get(targetId) ?? 0;
    }

    /** Targets with running requests, and how many. */
    entries(): IterableIterator<[string, number]> {
        return this.running.entries();
    }

    /** Takes a slot until the returned function is called; further calls of it do nothing. */
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
