import { z } from "zod";

/** Schema of what a host says of itself in the store, so that other hosts find it. */
export const announcedHostSchema = z.object({
    hostId: z.string().min(1),
    /** `address:port` of its listener for other hosts. */
    peers: z.string().min(1),
    /** `address:port` of its listener for callers. */
    callers: z.string().min(1),
    availabilityZone: z.string().min(1),
    region: z.string().min(1),
});

export type AnnouncedHost = z.infer<typeof announcedHostSchema>;
