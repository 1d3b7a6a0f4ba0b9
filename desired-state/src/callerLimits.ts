import { z } from "zod";

/** Schema of what callers may send, and how long they may take. */
export const callerLimitsSchema = z.object({
    headerBytes: z.number().positive(),
    bodyBytes: z.number().positive(),
    /** Time for the head of a request, in ms. */
    headerTimeoutMs: z.number().positive(),
    /** Time that a connection may stay idle, in ms. */
    idleTimeoutMs: z.number().positive(),
});

export type CallerLimits = z.infer<typeof callerLimitsSchema>;
