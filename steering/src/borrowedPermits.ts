interface HeldGrant {
    readonly id: string;
    readonly owner: string;
    readonly region: string;
    /** Monotonic time in ms after which no request may start with the grant. */
    readonly startBy: number;
    unused: number;
    inUse: number;
    returned: number;
    usedAt: number;
}

/** What the owner of a grant has to be told. */
interface PermitReturn {
    readonly owner: string;
    readonly id: string;
    readonly region: string;
    /** All permits of the grant that were returned so far. */
    readonly returned: number;
}

/**
 * Permits that no request has needed for this time in ms go back to their owner. Permits that lie idle are missing
 * elsewhere: with 300 ms, hosts near the cap borrowed each other's permits in turns and most requests waited.
 */
const IDLE_MS = 40;

/** Permits that this host has borrowed. */
export class BorrowedPermits {
    private readonly grants = new Map<string, HeldGrant>();

    /**
     * @param now Monotonic time in ms.
     * @param onReturn Called when permits have become free for their owner.
     */
    constructor(private readonly now: () => number, private readonly onReturn: (permits: PermitReturn) => void) {}

    add(grant: { id: string; owner: string; region: string; startBy: number; count: number; }): void {
        const { count, ...rest } = grant;
        this.grants.set(grant.id, { ...rest, unused: count, inUse: 0, returned: 0, usedAt: this.now() });
        this.returnUnused();
    }

    /** Permits for a region with which a request may start now. */
    unusedFor(region: string): number {
        const now = this.now();
        let sum = 0;
        for (const grant of this.grants.values()) {
            sum += grant.region === region && now < grant.startBy ? grant.unused : 0;
        }
        return sum;
    }

    inUseFor(region: string): number {
        return [...this.grants.values()].reduce((sum, grant) => sum + (grant.region === region ? grant.inUse : 0), 0);
    }

    /** Takes a permit; returns the function that ends its use. */
    take(region: string): (() => void) | undefined {
        const now = this.now();
        const usable = [...this.grants.values()]
            .find(grant => grant.region === region && grant.unused > 0 && now < grant.startBy);
        if (usable === undefined) {
            return undefined;
        }
        usable.unused--;
        usable.inUse++;
        usable.usedAt = now;
        return () => {
            usable.inUse--;
            usable.unused++;
            this.returnUnused();
        };
    }

    /** Returns permits that have lapsed or are not needed; to be called regularly. */
    returnUnused(): void {
        const now = this.now();
        for (const grant of this.grants.values()) {
            const isOver = now >= grant.startBy || now - grant.usedAt > IDLE_MS;
            if (isOver && grant.unused > 0) {
                grant.returned += grant.unused;
                grant.unused = 0;
                this.onReturn(grant);
            }
            if (grant.unused + grant.inUse === 0) {
                this.grants.delete(grant.id);
            }
        }
    }

    /** Gives up what is unused of an owner's grants and tells what is in use, for a new process of that owner. */
    heldOf(owner: string): { id: string; region: string; count: number; }[] {
        const held = [...this.grants.values()].filter(grant => grant.owner === owner);
        return held.map(grant => {
            // The new process counts only what is in use now, and counts returns from there.
            grant.unused = 0;
            grant.returned = 0;
            return { id: grant.id, region: grant.region, count: grant.inUse };
        }).filter(({ count }) => count > 0);
    }
}
