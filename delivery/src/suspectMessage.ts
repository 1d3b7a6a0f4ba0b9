import { z } from "zod";

/** Schema of what hosts tell each other about a suspect. */
export const suspectMessageSchema = z.object({
    type: z.literal("suspect"),
    digest: z.string().regex(/^[0-9a-f]{64}$/),
    /** `cleared`: the request ran; `ended`: its turn is over, and nothing new is known. */
    state: z.enum(["suspect", "refused", "cleared", "ended"]),
    /** Ids of the targets that were lost. */
    targets: z.array(z.string()).max(100),
});

export type SuspectMessage = z.infer<typeof suspectMessageSchema>;
