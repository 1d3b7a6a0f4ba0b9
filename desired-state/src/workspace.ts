import { z } from "zod";

/** Schema of one workspace of the desired state. */
export const workspaceSchema = z.object({
    name: z.string().min(1),
    keys: z.array(z.string().min(1)),
    /** Takes precedence over the priority of the route; 0 is the most urgent. */
    priority: z.number().nonnegative().optional(),
    /** Requests per second across all hosts; 0 means no limit. */
    ratePerSecond: z.number().nonnegative(),
    /** Requests admitted at once across all hosts. */
    burst: z.number().nonnegative(),
    /** Regions that may serve the workspace; all of them if empty. */
    regions: z.array(z.string()),
});

export type Workspace = z.infer<typeof workspaceSchema>;
