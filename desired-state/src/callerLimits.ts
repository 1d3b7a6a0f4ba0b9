import { z } from "zod";

/** Schema of the size limits and timeouts for callers. */
export const callerLimitsSchema = z.object({
    /** Maximum size of a request head. */
    headerBytes: z.number().positive(),
    /** Maximum size of a request body. */
    bodyBytes: z.number().positive(),
    /** Time within which the head of a request must be complete, in ms. */
    headerTimeoutMs: z.number().positive(),
    /** Time that a connection may stay idle, in ms. */
    idleTimeoutMs: z.number().positive(),
});

export type CallerLimits = z.infer<typeof callerLimitsSchema>;
