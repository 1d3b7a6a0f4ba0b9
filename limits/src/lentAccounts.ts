import { loanTerms } from "./loanTerms.js";
import type { Quota } from "./quota.js";

interface LentAccount {
    sequence: number;
    rate: number;
    capacity: number;
    reclaimAt: number;
    lastRequestAt: number;
}

/** Sequence numbers outlive the loans, so that a late duplicate is still recognized. */
const ACCOUNT_RETENTION_MS = 60_000;

/** What an owner has lent of one workspace's share, by borrower and its incarnation. */
export class LentAccounts {
    private readonly accounts = new Map<string, LentAccount>();

    get total(): Quota {
        let rate = 0;
        let capacity = 0;
        for (const account of this.accounts.values()) {
            rate += account.rate;
            capacity += account.capacity;
        }
        return { rate, capacity };
    }

    /** What the borrower may still hold. */
    lentTo(borrower: string): Quota {
        return this.accounts.get(borrower) ?? { rate: 0, capacity: 0 };
    }

    /**
     * Takes what a borrower states that it holds; it has given up the rest for good. A borrower sends its next request only
     * after it got or gave up the answer to the last one, so the newest statement is complete. Returns the capacity that
     * was returned, `undefined` for a statement that is not the newest.
     */
    recordHeld(borrower: string, sequence: number, held: Quota, now: number): number | undefined {
        const account = this.accounts.get(borrower) ??
            { sequence: 0, rate: 0, capacity: 0, reclaimAt: 0, lastRequestAt: now };
        if (sequence <= account.sequence) {
            return undefined;
        }
        const returned = Math.max(0, account.capacity - held.capacity);
        account.sequence = sequence;
        account.rate = Math.min(account.rate, held.rate);
        account.capacity = Math.min(account.capacity, held.capacity);
        account.lastRequestAt = now;
        this.accounts.set(borrower, account);
        return returned;
    }

    /**
     * Extends the loan of a borrower that has just settled. A reduction takes effect when the borrower states it: until then
     * it may still use what it holds.
     */
    grant(borrower: string, granted: Quota, now: number): void {
        const account = this.accounts.get(borrower);
        if (account !== undefined) {
            account.rate = Math.max(account.rate, granted.rate);
            account.capacity = Math.max(account.capacity, granted.capacity);
            account.reclaimAt = now + loanTerms.reclaimAfterMs;
        }
    }

    /** Takes back the loans that no borrower can still use. */
    reclaim(now: number): void {
        for (const [borrower, account] of this.accounts) {
            if (account.reclaimAt <= now) {
                account.rate = 0;
                account.capacity = 0;
            }
            if (now - account.lastRequestAt > ACCOUNT_RETENTION_MS) {
                this.accounts.delete(borrower);
            }
        }
    }
}
