import { z } from "zod";

const amount = z.number().nonnegative();

/** Schema of `loan-request` and `loan-return`; the latter wants nothing and gets no reply. */
export const loanRequestSchema = z.object({
    type: z.enum(["loan-request", "loan-return"]),
    /** Incarnation of the owner that the borrower's account is with; others ignore the message. */
    owner: z.string(),
    entries: z.array(z.object({
        workspace: z.string(),
        /** Sequence number, larger than in all earlier entries of the borrower's account with this owner. */
        sequence: z.number().int().positive(),
        /** Total rate and capacity that the borrower still holds from this owner; the rest is returned. */
        heldRate: amount,
        heldCapacity: amount,
        /** Unspent tokens that are returned with the capacity. */
        returnedTokens: amount,
        /** Total rate and capacity that the borrower wants to hold from now on. */
        wantedRate: amount,
        wantedCapacity: amount,
        /** Tokens that the borrower wants to have transferred at once. */
        wantedTokens: amount,
        /** Requests per second that arrive at the borrower. */
        demand: amount,
    })),
});

export type LoanRequest = z.infer<typeof loanRequestSchema>;
