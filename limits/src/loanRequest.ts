import { z } from "zod";

const amount = z.number().nonnegative();

/** Schema of `loan-request` and `loan-return`; the latter asks for nothing and gets no answer. */
export const loanRequestSchema = z.object({
    type: z.enum(["loan-request", "loan-return"]),
    /** Incarnation of the owner that the borrower's account is with. */
    owner: z.string(),
    entries: z.array(z.object({
        workspace: z.string(),
        /** Larger than in all earlier entries of this borrower's account with this owner. */
        sequence: z.number().int().positive(),
        /** All that the borrower still holds of the owner's; the rest is returned. */
        heldRate: amount,
        heldCapacity: amount,
        /** Unspent tokens that are returned with the capacity. */
        returnedTokens: amount,
        /** Rate and capacity that the borrower wants to hold from now on. */
        wantedRate: amount,
        wantedCapacity: amount,
        /** Tokens that the borrower wants in addition, at once. */
        wantedTokens: amount,
        /** Requests per second that arrive at the borrower. */
        demand: amount,
    })),
});

export type LoanRequest = z.infer<typeof loanRequestSchema>;
