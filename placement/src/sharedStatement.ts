import { z } from "zod";

/** Schema of what a host has learned of a target from a response and tells the others. */
export const sharedStatementSchema = z.object({
    /** Key of the target's incarnation. */
    target: z.string(),
    /** Whether the target has said that it is leaving, which is final. */
    isLeaving: z.boolean(),
    /** Requests per second that the target accepts of all hosts together; `null` if it has stated no limit or ended it. */
    limitPerSecond: z.number().nonnegative().finite().nullable(),
    /** Time since the target stated this, in ms. */
    ageMs: z.number().nonnegative(),
});

export type SharedStatement = z.infer<typeof sharedStatementSchema>;
