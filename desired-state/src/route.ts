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
    /** Longest time that a request may stay without its final answer, in ms. */
    timeoutMs: z.number().positive(),
    /** Time within which an answer is worth its full benefit, in ms. */
    objectiveMs: z.number().positive(),
    /** 0 is the most urgent. */
    priority: z.number().nonnegative(),
    /** Services among which requests are divided by weight. */
    parts: z.array(z.object({ service: z.string(), weight: z.number().nonnegative() })).min(1),
    /** Targets to which one request may be sent. */
    maxAttempts: z.number().int().min(1),
    /** Public routes need no key. */
    isPublic: z.boolean(),
    /** Whether a target that has lately handled an object is faster at it. */
    isSticky: z.boolean(),
    /** Regions that may serve the route; all of them if empty. */
    regions: z.array(z.string()),
});

export type Route = z.infer<typeof routeSchema>;
