import { z } from "zod";

/** Schema of the message by which a host informs the others of a suspect's state. */
export const suspectMessageSchema = z.object({
    type: z.literal("suspect"),
    digest: z.string().regex(/^[0-9a-f]{64}$/),
    /**
     * `cleared`: the request ran without losing a target; `ended`: its turn is over without a new finding; `withdrawn`: the
     * targets were not lost by the request.
     */
    state: z.enum(["suspect", "refused", "cleared", "ended", "withdrawn"]),
    /** Ids of the targets that were lost while they ran the request. */
    targets: z.array(z.string()).max(100),
    /** Id of the host that has lost the targets; absent in messages of earlier builds. */
    host: z.string().max(200).optional(),
    /** Time since the last target was lost, in ms; 0 if absent. */
    lostMs: z.number().nonnegative().optional(),
});

export type SuspectMessage = z.infer<typeof suspectMessageSchema>;
