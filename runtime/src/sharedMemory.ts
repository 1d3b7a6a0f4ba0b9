interface SharedMemoryOptions {
    /** Most bytes that all holders may use together. */
    readonly maxBytes: number;
    /** Called when a holder is refused memory for the first time since it last used none. */
    readonly onRefused?: (holder: string) => void;
}

/** A holder of more than this share of the memory leaves the same share free for the others. */
const RESERVED_SHARE = 0.25;

/**
 * Memory that several holders share under one limit. No holder can take all of it: the last quarter is only for holders that use less
 * than a quarter.
 */
export class SharedMemory {
    private usedBytes = 0;
    private readonly usedByHolder = new Map<string, number>();
    private readonly refusedHolders = new Set<string>();

    constructor(private readonly opts: SharedMemoryOptions) {}

    /** Memory that is in use, in bytes. */
    get used(): number {
        return this.usedBytes;
    }

    /** Takes memory for a holder; returns false if there is none left for it. */
    tryTake(holder: string, bytes: number): boolean {
        const { maxBytes, onRefused } = this.opts;
        const holderBytes = (this.usedByHolder.get(holder) ?? 0) + bytes;
        const reservedBytes = holderBytes > RESERVED_SHARE * maxBytes ? RESERVED_SHARE * maxBytes : 0;
        if (this.usedBytes + bytes > maxBytes - reservedBytes) {
            if (!this.refusedHolders.has(holder)) {
                this.refusedHolders.add(holder);
                onRefused?.(holder);
            }
            return false;
        }
        this.usedBytes += bytes;
        this.usedByHolder.set(holder, holderBytes);
        return true;
    }

    /** Returns memory of a holder. */
    release(holder: string, bytes: number): void {
        this.usedBytes -= bytes;
        const holderBytes = (this.usedByHolder.get(holder) ?? 0) - bytes;
        if (holderBytes > 0) {
            this.usedByHolder.set(holder, holderBytes);
            return;
        }
        this.usedByHolder.delete(holder);
        this.refusedHolders.delete(holder);
    }
}
