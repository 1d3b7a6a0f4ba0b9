import { z } from "zod";

/** Schema of one service of the desired state. */
export const serviceSchema = z.object({
    name: z.string().min(1),
    /** Maximum number of connections that one target accepts from all hosts together. */
    maxConnections: z.number().positive(),
    /** How long a target stays cold after its start, in ms. */
    coldStartMs: z.number().nonnegative(),
    /** Requests per second that a cold target can handle. */
    coldPerSecond: z.number().nonnegative(),
});

export type Service = z.infer<typeof serviceSchema>;
