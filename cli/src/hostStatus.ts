import { z } from "zod";

/** Schema of what the operator's commands read from `/v1/status` of a host; further fields are kept. */
export const hostStatusSchema = z.looseObject({
    hostId: z.string(),
    availabilityZone: z.string(),
    incarnation: z.string(),
    ready: z.boolean(),
    documents: z.object({ config: z.number(), keys: z.number(), plan: z.number() }),
    storeCalls: z.object({ read: z.number(), write: z.number(), watch: z.number() }),
});

export type HostStatus = z.infer<typeof hostStatusSchema>;
