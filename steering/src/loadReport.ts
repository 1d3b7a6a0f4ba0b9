import { z } from "zod";

/** Schema of a target's response to `GET /load`. */
export const loadReportSchema = z.object({
    slots: z.number().int().nonnegative(),
    running: z.number().int().nonnegative(),
    state: z.enum(["serving", "cold", "draining"]),
});

export type LoadReport = z.infer<typeof loadReportSchema>;
