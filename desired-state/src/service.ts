import { z } from "zod";

/** Schema of one service of the desired state. */
export const serviceSchema = z.object({
    name: z.string().min(1),
    /** Connections that one target accepts from all hosts together. */
    maxConnections: z.number().positive(),
    /** How long a target stays cold after its start, in ms. */
    coldStartMs: z.number().nonnegative(),
    /** Requests a second that a cold target tolerates. */
    coldPerSecond: z.number().nonnegative(),
});

export type Service = z.infer<typeof serviceSchema>;
