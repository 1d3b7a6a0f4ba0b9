import { z } from "zod";

/** Schema of the fields of a host's `/v1/status` that operators' commands read; further fields are kept. */
export const hostStatusSchema = z.looseObject({
    hostId: z.string(),
    availabilityZone: z.string(),
    incarnation: z.string(),
    ready: z.boolean(),
    /** Version in force of each document. */
    documents: z.object({ config: z.number(), keys: z.number(), plan: z.number() }),
    /** Number of calls of the host to the store, by kind. */
    storeCalls: z.object({ read: z.number(), write: z.number(), watch: z.number() }),
});

/** Status of a host as operators' commands read it. */
export type HostStatus = z.infer<typeof hostStatusSchema>;
