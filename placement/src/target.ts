import { z } from "zod";

/** Schema of a server that answers requests of one service, as it has registered itself. */
export const targetSchema = z.object({
    id: z.string().min(1),
    /** Wall-clock time in ms of the target's start; another start under the same id is another incarnation. */
    incarnation: z.number().int(),
    /** `address:port` */
    address: z.string().min(1),
    service: z.string().min(1),
    availabilityZone: z.string().min(1),
    region: z.string().min(1),
    slots: z.number().int().positive(),
    isDraining: z.boolean(),
    /** How much longer the target stays cold, in ms, as it reported. */
    coldMs: z.number().nonnegative(),
});

export type Target = z.infer<typeof targetSchema>;
