import { z } from "zod";

/** Schema of one event of the time line. */
export const timelineEventSchema = z.object({
    /** Wall clock of the host in ms since 1970. */
    time: z.number(),
    host: z.string(),
    /** Start of the process; tells two processes of one host id apart. */
    incarnation: z.string(),
    /** Position within the process, from 1, without gaps. */
    sequence: z.number().int(),
    event: z.string(),
    /** The event of another host that caused this one, as `host/incarnation/sequence`. */
    cause: z.string().optional(),
    request: z.string().optional(),
    workspace: z.string().optional(),
    fields: z.record(z.string(), z.union([z.string(), z.number(), z.boolean()])).optional(),
});

export type TimelineEvent = z.infer<typeof timelineEventSchema>;
