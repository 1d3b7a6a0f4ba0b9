import { z } from "zod";

/** Schema of one event of the timeline. */
export const timelineEventSchema = z.object({
    /** Unix time in ms by the host's wall clock. */
    time: z.number(),
    host: z.string(),
    /** Identifies one start of the process; distinguishes processes with the same host id. */
    incarnation: z.string(),
    /** Number of the event within the process, from 1, without gaps. */
    sequence: z.number().int(),
    event: z.string(),
    /** Reference of the event of another host that caused this one: `host/incarnation/sequence`. */
    cause: z.string().optional(),
    /** Id of the request. */
    request: z.string().optional(),
    workspace: z.string().optional(),
    fields: z.record(z.string(), z.union([z.string(), z.number(), z.boolean()])).optional(),
});

/** One event of the timeline. */
export type TimelineEvent = z.infer<typeof timelineEventSchema>;
