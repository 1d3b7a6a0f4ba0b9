import { z } from "zod";

/** Schema of the part of a heartbeat that states a host's share and demand. */
export const demandReportSchema = z.object({
    /** Share of each limit that the host owns, from 0 to 1. */
    share: z.number().min(0).max(1),
    /** Requests per second by workspace; workspaces without requests are left out. */
    demands: z.record(z.string(), z.number().nonnegative()),
});

export type DemandReport = z.infer<typeof demandReportSchema>;
