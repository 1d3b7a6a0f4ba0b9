import { z } from "zod";

/** Schema of a server that handles requests of one service, as it has registered itself. */
export const targetSchema = z.object({
    id: z.string().min(1),
    /** Unix time in ms of the target's start; a restart under the same id is a new incarnation. */
    incarnation: z.number().int(),
    /** Number of the target's report, which rises while the target runs. */
    sequence: z.number().int().default(0),
    /** `address:port` */
    address: z.string().min(1),
    service: z.string().min(1),
    availabilityZone: z.string().min(1),
    region: z.string().min(1),
    slots: z.number().int().positive(),
    isDraining: z.boolean(),
    /** Remaining time in ms for which the target reported to be cold. */
    coldMs: z.number().nonnegative(),
});

export type Target = z.infer<typeof targetSchema>;
