import { loanTerms } from "./loanTerms.js";
import type { Quota } from "./quota.js";

/** Time a borrower waits for a reply. The regions that are farthest apart reply in about 50 ms. */
const REPLY_TIMEOUT_MS = 250;

/** What this host has borrowed of one workspace's limit from one incarnation of an owner. */
export class BorrowedAccount {
    held: Quota = { rate: 0, capacity: 0 };
    /** Monotonic time in ms at which the loan ends. */
    expiresAt = 0;
    /** Earliest monotonic time in ms of the next request that only adjusts the loan. */
    adjustAfter = 0;
    private sequence = 0;
    private requestSentAt: number | undefined;

    constructor(readonly ownerIncarnation: string) {}

    /** Whether a reply is outstanding; an account has at most one request in flight. */
    isAwaitingReply(now: number): boolean {
        return this.requestSentAt !== undefined && now - this.requestSentAt < REPLY_TIMEOUT_MS;
    }

    /** Starts a request or return and gives its sequence number. Replies to earlier ones are ignored afterwards. */
    startRequest(now: number, expectsReply: boolean): number {
        this.requestSentAt = expectsReply ? now : undefined;
        return ++this.sequence;
    }

    /** Applies a reply; false if it is not to the request in flight or arrived after the loan's end. */
    handleLoan(sequence: number, granted: Quota, now: number): boolean {
        const sentAt = this.requestSentAt;
        if (sentAt === undefined || sequence !== this.sequence || now >= sentAt + loanTerms.ttlMs) {
            return false;
        }
        this.requestSentAt = undefined;
        this.held = granted;
        this.expiresAt = sentAt + loanTerms.ttlMs;
        return true;
    }

    /** Drops what was borrowed, at the loan's end. */
    expire(): void {
        this.held = { rate: 0, capacity: 0 };
    }
}
