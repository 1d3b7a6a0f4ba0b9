import { z } from "zod";

/** Schema of the message by which a host informs the others of a suspect's state. */
export const suspectMessageSchema = z.object({
    type: z.literal("suspect"),
    digest: z.string().regex(/^[0-9a-f]{64}$/),
    /** `cleared`: the request ran without losing a target; `ended`: its turn is over without a new finding. */
    state: z.enum(["suspect", "refused", "cleared", "ended"]),
    /** Ids of the targets that were lost while they ran the request. */
    targets: z.array(z.string()).max(100),
    /** Time since the last target was lost, in ms; 0 if absent. */
    lostMs: z.number().nonnegative().optional(),
});

export type SuspectMessage = z.infer<typeof suspectMessageSchema>;
