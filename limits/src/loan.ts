import { z } from "zod";

const amount = z.number().nonnegative();

/** Schema of the reply to a `loan-request`. */
export const loanSchema = z.object({
    type: z.literal("loan"),
    /** Incarnation of the requesting borrower: a restarted one ignores replies to its predecessor's requests. */
    borrower: z.string(),
    entries: z.array(z.object({
        workspace: z.string(),
        /** Sequence number of the request's entry that this replies to. */
        sequence: z.number().int().positive(),
        /** Total rate, in requests per second, and capacity that the borrower holds from this owner from now on. */
        rate: amount,
        capacity: amount,
        /** Tokens that are transferred with the loan. */
        tokens: amount,
        /** Share of the workspace's limit that the owner owns, from 0 to 1. */
        share: amount,
        /** Requests per second that arrive at the owner. */
        demand: amount,
    })),
});

export type Loan = z.infer<typeof loanSchema>;
