import { z } from "zod";

/** Schema of a host's report about itself in each heartbeat. */
export const hostReportSchema = z.object({
    /** Version of each document that the host holds; 0 if it has none. */
    versions: z.record(z.string(), z.number().int().nonnegative()),
    /**
     * Age in ms of the newest read of the store that these versions reflect, by this host or relayed to it; absent if
     * there was none. The age of quorum evidence is never forwarded.
     */
    evidenceAgeMs: z.number().nonnegative().optional(),
    state: z.enum(["live", "leaving"]),
});

export type HostReport = z.infer<typeof hostReportSchema>;
