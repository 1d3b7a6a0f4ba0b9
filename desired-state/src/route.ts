import { z } from "zod";

/** Schema of one route of the desired state. */
export const routeSchema = z.object({
    name: z.string(),
    /** Host name that requests carry, in lower case. */
    host: z.string().min(1),
    /** Begins and ends with a slash. */
    pathPrefix: z.string().regex(/^\/(.*\/)?$/s),
    /** Whether a target may run the same request more than once. */
    isIdempotent: z.boolean(),
    /** Time limit for the complete response to a request, in ms. */
    timeoutMs: z.number().positive(),
    /** Latency objective: a response within this time, in ms, has its full benefit. */
    objectiveMs: z.number().positive(),
    /** 0 is the most urgent. */
    priority: z.number().nonnegative(),
    /** Services among which requests are distributed by weight. */
    parts: z.array(z.object({ service: z.string(), weight: z.number().nonnegative() })).min(1),
    /** Maximum number of targets to which one request is sent. */
    maxAttempts: z.number().int().min(1),
    /** Whether requests are accepted without a key. */
    isPublic: z.boolean(),
    /** Whether a target that has recently handled an object serves it faster, so that affinity is worthwhile. */
    isSticky: z.boolean(),
    /** Regions that may serve the route; all of them if empty. */
    regions: z.array(z.string()),
});

export type Route = z.infer<typeof routeSchema>;
