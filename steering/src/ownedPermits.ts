interface LentPermits {
    readonly count: number;
    /** Monotonic time in ms after which no request can still use the permits. */
    readonly expiresAt: number;
    returned: number;
}

interface OwnedPermitsOptions {
    /** Number of permits that this host owns now. */
    readonly capacity: () => number;
    /** Longest time in ms from a grant to the end of a request that uses it. */
    readonly maxHoldMs: () => number;
    /** Monotonic time in ms. */
    readonly now: () => number;
}

/** Bounds the permits that other hosts lack when a borrower fails. */
const MAX_PERMITS_PER_GRANT = 16;
/** Share of the capacity that is not lent to other regions. */
const LOCAL_RESERVE_SHARE = 0.125;

/**
 * Permits of one region that this host owns; each allows one running request. The permits in use here and the lent
 * permits never exceed the capacity together, unless the capacity has shrunk since.
 */
export class OwnedPermits {
    private readonly lent = new Map<string, LentPermits>();
    private localInUse = 0;

    constructor(private readonly opts: OwnedPermitsOptions) {}

    /** Number of permits that can be used here or lent now. */
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
     * Lends permits under the id of a new grant: at most half of the available ones, rounded up. A borrower in another
     * region also leaves the reserve, because the region's own requests take precedence. Returns the number of permits
     * lent, which may be 0.
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

    /** Records a grant that an earlier process of this host made. */
    adopt(id: string, count: number): void {
        if (!this.lent.has(id)) {
            this.lent.set(id, { count, returned: 0, expiresAt: this.opts.now() + this.opts.maxHoldMs() });
        }
    }

    /**
     * Records the return of permits.
     *
     * @param returned Total of the grant's permits returned so far, so that messages may be repeated or reordered.
     */
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
