import { loanTerms } from "./loanTerms.js";
import type { Quota } from "./quota.js";

/** A borrower gives up an answer after this long; the slowest pair of regions answers in about 50 ms. */
const REPLY_TIMEOUT_MS = 250;

/** What a borrower holds of one workspace's share of one incarnation of an owner. */
export class BorrowedAccount {
    held: Quota = { rate: 0, capacity: 0 };
    /** Monotonic time in ms at which the loan ends. */
    expiresAt = 0;
    /** Earliest time of the next request that only adjusts the loan, in monotonic ms. */
    adjustAfter = 0;
    private sequence = 0;
    private requestSentAt: number | undefined;

    constructor(readonly ownerIncarnation: string) {}

    /** Whether an answer is awaited; there is one request at a time for each account. */
    isAwaitingReply(now: number): boolean {
        return this.requestSentAt !== undefined && now - this.requestSentAt < REPLY_TIMEOUT_MS;
    }

    /** Starts a request or a return and gives its sequence. From here on the answer to an earlier request is ignored. */
    startRequest(now: number, expectsReply: boolean): number {
        this.requestSentAt = expectsReply ? now : undefined;
        return ++this.sequence;
    }

    /** Takes an answer; false if it is not the awaited one or came after the loan's end. */
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

    expire(): void {
        this.held = { rate: 0, capacity: 0 };
    }
}
