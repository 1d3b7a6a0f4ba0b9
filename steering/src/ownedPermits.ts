interface LentPermits {
    readonly count: number;
    /** Monotonic time in ms after which no request can still use the permits. */
    readonly until: number;
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
const MAX_GRANT = 16;
/** Share of the capacity that is not lent to other regions. */
const LOCAL_RESERVE = 0.125;

/**
 * Permits of one region that this host owns: each allows one running request. At every moment the permits in use here
 * and those that are lent are at most the capacity, unless the capacity shrank since.
 */
export class OwnedPermits {
    private readonly lent = new Map<string, LentPermits>();
    private local = 0;

    constructor(private readonly opts: OwnedPermitsOptions) {}

    get available(): number {
        return Math.max(0, this.opts.capacity() - this.local - this.outstanding());
    }

    takeLocal(): void {
        this.local++;
    }

    releaseLocal(): void {
        this.local--;
    }

    /**
     * Debits permits for a borrower; half of what is available stays here. A borrower of another region also leaves the
     * reserve, as the region's own work comes first. Returns the number of permits, which may be 0.
     */
    lend(id: string, wanted: number, isNear: boolean): number {
        const reserve = isNear ? 0 : Math.ceil(this.opts.capacity() * LOCAL_RESERVE);
        const lendable = Math.max(0, this.available - reserve);
        const count = Math.min(wanted, MAX_GRANT, Math.ceil(lendable / 2));
        if (count > 0) {
            this.lent.set(id, { count, returned: 0, until: this.opts.now() + this.opts.maxHoldMs() });
        }
        return count;
    }

    /** Takes over what a borrower got from the process that had this host's share before. */
    adopt(id: string, count: number): void {
        if (!this.lent.has(id)) {
            this.lent.set(id, { count, returned: 0, until: this.opts.now() + this.opts.maxHoldMs() });
        }
    }

    /** @param returned All permits of the grant that were returned so far; repeats and reordering do no harm. */
    takeBack(id: string, returned: number): void {
        const grant = this.lent.get(id);
        if (grant === undefined) {
            return;
        }
        grant.returned = Math.max(grant.returned, returned);
        if (grant.returned >= grant.count) {
            this.lent.delete(id);
        }
    }

    private outstanding(): number {
        const now = this.opts.now();
        let sum = 0;
        for (const [id, { count, returned, until }] of this.lent) {
            if (now > until) {
                this.lent.delete(id);
            }
            else {
                sum += count - returned;
            }
        }
        return sum;
    }
}
