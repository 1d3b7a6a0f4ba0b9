import { z } from "zod";

/** Schema of the entry that each host writes to the store, through which other hosts discover it. */
export const announcedHostSchema = z.object({
    hostId: z.string().min(1),
    /** `address:port` of the host's listener for other hosts. */
    peers: z.string().min(1),
    /** `address:port` of the host's listener for callers. */
    callers: z.string().min(1),
    availabilityZone: z.string().min(1),
    region: z.string().min(1),
    /** Processor time that the host may use, in cores. */
    cores: z.number().nonnegative().default(0),
});

/** A gateway host as it is registered in the store. */
export type AnnouncedHost = z.infer<typeof announcedHostSchema>;
