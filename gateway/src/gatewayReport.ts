import { z } from "zod";

/**
 * Schema of the state that each host sends to its peers with additional heartbeats, at an interval that grows with the
 * number of peers.
 */
export const gatewayReportSchema = z.object({
    /** `ready`: accepts callers. `leaving`: is shutting down. */
    state: z.enum(["starting", "ready", "leaving"]),
    /** `address:port` of the host's listener for callers. */
    callers: z.string(),
    /** Requests of the host that are running at each target, by target id. */
    running: z.record(z.string(), z.number()),
    /** Requests that the host has received and admitted since its start, by workspace, where they have changed. */
    admitted: z.record(z.string(), z.tuple([z.number(), z.number()])),
    /** Newest revision that the host knows of each feed of which it has a full copy. */
    revisions: z.record(z.string(), z.number()),
    /** Pairs of a target's key and an object that the target has started to handle since the previous report. */
    warmed: z.array(z.tuple([z.string(), z.string()])),
});

/** State that a host sends to its peers. */
export type GatewayReport = z.infer<typeof gatewayReportSchema>;
