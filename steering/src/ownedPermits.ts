interface LentPermits {
    readonly count: number;
    /** Monotonic time in ms after which no request can still use the permits. */
    readonly expiresAt: number;
    returned: number;
}

interface OwnedPermitsOptions {
    /** Permits that this host owns at the moment. */
    readonly capacity: () => number;
    /** Longest time in ms from the grant to the end of a request that uses it. */
    readonly maxHoldMs: () => number;
    /** Monotonic time in ms. */
    readonly now: () => number;
}

/** Most permits of one grant; bounds what a borrower that dies keeps from the others. */
const MAX_PERMITS_PER_GRANT = 16;
/** Share of the capacity that is not lent to other regions. */
const LOCAL_RESERVE_SHARE = 0.125;

/**
 * Permits of one region that this host owns: each allows one running request. At every moment the permits in use here
 * and those that are lent are at most the capacity, unless the capacity shrank since.
 */
export class OwnedPermits {
    private readonly lent = new Map<string, LentPermits>();
    private localInUse = 0;

    constructor(private readonly opts: OwnedPermitsOptions) {}

    get available(): number {
        return Math.max(0, this.opts.capacity() - this.localInUse - this.lentCount());
    }

    acquireLocal(): void {
        this.localInUse++;
    }

    releaseLocal(): void {
        this.localInUse--;
    }

    /**
     * Debits permits for a borrower; half of what is available stays here. A borrower of another region also leaves the
     * reserve, as the region's own work comes first. Returns the number of permits, which may be 0.
     */
    lend(id: string, wanted: number, isSameRegion: boolean): number {
        const reserve = isSameRegion ? 0 : Math.ceil(this.opts.capacity() * LOCAL_RESERVE_SHARE);
        const lendable = Math.max(0, this.available - reserve);
        const count = Math.min(wanted, MAX_PERMITS_PER_GRANT, Math.ceil(lendable / 2));
        if (count > 0) {
            this.lent.set(id, { count, returned: 0, expiresAt: this.opts.now() + this.opts.maxHoldMs() });
        }
        return count;
    }

    /** Takes over what a borrower got from the process that had this host's share before. */
    adopt(id: string, count: number): void {
        if (!this.lent.has(id)) {
            this.lent.set(id, { count, returned: 0, expiresAt: this.opts.now() + this.opts.maxHoldMs() });
        }
    }

    /** @param returned All permits of the grant that were returned so far; repeats and reordering do no harm. */
    recordReturn(id: string, returned: number): void {
        const grant = this.lent.get(id);
        if (grant === undefined) {
            return;
        }
        grant.returned = Math.max(grant.returned, returned);
        if (grant.returned >= grant.count) {
            this.lent.delete(id);
        }
    }

    private lentCount(): number {
        const now = this.opts.now();
        let sum = 0;
        for (const [id, { count, returned, expiresAt }] of this.lent) {
            if (now > expiresAt) {
                this.lent.delete(id);
            }
            else {
                sum += count - returned;
            }
        }
        return sum;
    }
}
