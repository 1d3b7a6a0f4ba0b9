import { z } from "zod";

/** Schema of what each host tells the others several times a second. */
export const gatewayReportSchema = z.object({
    /** `ready`: takes callers. `leaving`: is about to stop. */
    state: z.enum(["starting", "ready", "leaving"]),
    callers: z.string(),
    /** Requests that the host has at each target. */
    running: z.record(z.string(), z.number()),
    /** Requests that the host was asked for and has admitted since its start, for each workspace with news. */
    admitted: z.record(z.string(), z.tuple([z.number(), z.number()])),
    /** Newest revision that the host knows of each feed that it has read whole. */
    revisions: z.record(z.string(), z.number()),
    /** Objects that targets have begun to handle since the report before. */
    warmed: z.array(z.tuple([z.string(), z.string()])),
});

export type GatewayReport = z.infer<typeof gatewayReportSchema>;
