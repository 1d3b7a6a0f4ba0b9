import { z } from "zod";

const amount = z.number().nonnegative();

/** Schema of the answer to a `loan-request`. */
export const loanSchema = z.object({
    type: z.literal("loan"),
    /** Incarnation of the borrower that asked; its successor must not take the answer for one to its own request. */
    borrower: z.string(),
    entries: z.array(z.object({
        workspace: z.string(),
        /** Sequence of the request's entry that this answers. */
        sequence: z.number().int().positive(),
        /** All that the borrower holds of the owner's from now on. */
        rate: amount,
        capacity: amount,
        /** Tokens that come with it. */
        tokens: amount,
        /** Share of the workspace's limit that the owner owns, 0 to 1. */
        share: amount,
        /** Requests per second that arrive at the owner. */
        demand: amount,
    })),
});

export type Loan = z.infer<typeof loanSchema>;
