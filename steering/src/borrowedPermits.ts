/** Permits that one owner lent in one grant. */
interface HeldGrant {
    readonly id: string;
    readonly owner: string;
    readonly region: string;
    /** Monotonic time in ms after which no request may start with the grant. */
    readonly startBy: number;
    unused: number;
    inUse: number;
    returned: number;
    lastUsedAt: number;
}

/** Permits of a grant that go back to its owner. */
interface PermitReturn {
    readonly owner: string;
    readonly id: string;
    readonly region: string;
    /** Total number of the grant's permits returned so far. */
    readonly returned: number;
}

/**
 * Unused permits of a grant go back to its owner once no request has acquired one of the grant for this time. If idle
 * permits are kept longer, such as 300 ms, hosts near the cap borrow each other's in turn and most requests wait.
 */
const IDLE_TIMEOUT_MS = 40;

/** Permits that this host has borrowed from their owners. */
export class BorrowedPermits {
    private readonly grants = new Map<string, HeldGrant>();

    /**
     * @param now Monotonic time in ms.
     * @param onReturn Called to return permits to their owner.
     */
    constructor(private readonly now: () => number, private readonly onReturn: (permits: PermitReturn) => void) {}

    /** Adds the permits of a new grant. */
    add(grant: { id: string; owner: string; region: string; startBy: number; count: number; }): void {
        const { count, ...rest } = grant;
        this.grants.set(grant.id, { ...rest, unused: count, inUse: 0, returned: 0, lastUsedAt: this.now() });
        this.returnUnused();
    }

    /** Number of permits for a region with which requests may start now. */
    unusedFor(region: string): number {
        const now = this.now();
        let sum = 0;
        for (const grant of this.grants.values()) {
            sum += grant.region === region && now < grant.startBy ? grant.unused : 0;
        }
        return sum;
    }

    /** Number of permits for a region that running requests use. */
    inUseFor(region: string): number {
        return [...this.grants.values()].reduce((sum, grant) => sum + (grant.region === region ? grant.inUse : 0), 0);
    }

    /** Acquires a permit. Returns its release function, or `undefined` if there is none. */
    acquire(region: string): (() => void) | undefined {
        const now = this.now();
        const usable = [...this.grants.values()]
            .find(grant => grant.region === region && grant.unused > 0 && now < grant.startBy);
        if (usable === undefined) {
            return undefined;
        }
        usable.unused--;
        usable.inUse++;
        usable.lastUsedAt = now;
        return () => {
            usable.inUse--;
            usable.unused++;
            this.returnUnused();
        };
    }

    /** Returns unused permits that have expired or are idle; must be called regularly. */
    returnUnused(): void {
        const now = this.now();
        for (const grant of this.grants.values()) {
            const isExpiredOrIdle = now >= grant.startBy || now - grant.lastUsedAt > IDLE_TIMEOUT_MS;
            if (isExpiredOrIdle && grant.unused > 0) {
                grant.returned += grant.unused;
                grant.unused = 0;
                this.onReturn(grant);
            }
            if (grant.unused + grant.inUse === 0) {
                this.grants.delete(grant.id);
            }
        }
    }

    /** Gives up the unused permits of a restarted owner and returns the number in use of each grant. */
    reconcileGrantsOf(owner: string): { id: string; region: string; count: number; }[] {
        const held = [...this.grants.values()].filter(grant => grant.owner === owner);
        return held.map(grant => {
            // The owner's new process counts only the permits that are in use now, and their returns from now on.
            grant.unused = 0;
            grant.returned = 0;
            return { id: grant.id, region: grant.region, count: grant.inUse };
        }).filter(({ count }) => count > 0);
    }
}
