import { z } from "zod";

/** Schema of what a host says about itself in each heartbeat. */
export const hostReportSchema = z.object({
    /** Version of each document that the host holds; 0 if it has none. */
    versions: z.record(z.string(), z.number().int().nonnegative()),
    /**
     * Age in ms of the newest read of the store that these versions are at least as new as, by this host or relayed to
     * it; absent if there was none. An age that comes from a quorum is never passed on.
     */
    evidenceAgeMs: z.number().nonnegative().optional(),
    state: z.enum(["live", "leaving"]),
});

export type HostReport = z.infer<typeof hostReportSchema>;
