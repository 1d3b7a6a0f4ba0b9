import { loanTerms } from "./loanTerms.js";
import type { Quota } from "./quota.js";

interface LentAccount {
    /** Sequence number of the newest request or return of the borrower. */
    sequence: number;
    rate: number;
    capacity: number;
    /** Monotonic time in ms at which the owner reclaims the loan. */
    reclaimAt: number;
    /** Monotonic time in ms of the newest request or return. */
    lastRequestAt: number;
}

/** Accounts are kept longer than loans last, so that a late duplicate is still recognized by its sequence number. */
const ACCOUNT_RETENTION_MS = 60_000;

/** What this host has lent of its share of one workspace's limit, by borrower and its incarnation. */
export class LentAccounts {
    private readonly accounts = new Map<string, LentAccount>();

    /** Rate and capacity that all borrowers together may still be using. */
    get total(): Quota {
        let rate = 0;
        let capacity = 0;
        for (const account of this.accounts.values()) {
            rate += account.rate;
            capacity += account.capacity;
        }
        return { rate, capacity };
    }

    /** Rate and capacity that the borrower may still be using. */
    lentTo(borrower: string): Quota {
        return this.accounts.get(borrower) ?? { rate: 0, capacity: 0 };
    }

    /**
     * Records what a borrower states that it holds; it has released the rest for good. A borrower sends its next
     * request only after the reply to the last one arrived or timed out, so the newest statement is complete. Returns
     * the capacity that came back, or `undefined` if the statement is not the newest.
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
     * Grants or extends the loan of a borrower whose statement has just been recorded. A reduction takes effect only
     * when the borrower states it, because it may use what it holds until then.
     */
    grant(borrower: string, granted: Quota, now: number): void {
        const account = this.accounts.get(borrower);
        if (account !== undefined) {
            account.rate = Math.max(account.rate, granted.rate);
            account.capacity = Math.max(account.capacity, granted.capacity);
            account.reclaimAt = now + loanTerms.reclaimAfterMs;
        }
    }

    /** Reclaims the loans that their borrowers can no longer use, and removes accounts without recent requests. */
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
