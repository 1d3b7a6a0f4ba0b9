import { z } from "zod";

const DEFAULT_DEADLINE_MS = 10_000;
const DEFAULT_ATTEMPT_TIMEOUT_MS = 3_000;
const DEFAULT_MAX_BODY_BYTES = 64 * 1024 * 1024;
const DEFAULT_SHIFT_SHARE = 0.1;
const DEFAULT_SHIFT_INTERVAL_MS = 1_000;

const millisecondsSchema = z.number().int().positive();
const nameSchema = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, "lower-case letters, digits and hyphens");

const serviceSchema = z.strictObject({
    /** Time that a request may take from its arrival, in ms, unless the caller gives less. */
    deadlineMs: millisecondsSchema.default(DEFAULT_DEADLINE_MS),
    /** Time that one target may take until the head of its response, in ms. */
    attemptTimeoutMs: millisecondsSchema.default(DEFAULT_ATTEMPT_TIMEOUT_MS),
});

export const routeSchema = z.strictObject({
    /** Requests match by longest path prefix at a segment boundary. */
    path: z.string().regex(/^\/[^?#\s]*$/, "a path that starts with /"),
    methods: z.array(z.enum(["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"])).min(1),
    service: nameSchema,
    /** Whether a target may run the same request more than once. */
    idempotent: z.boolean(),
    priority: z.enum(["urgent", "normal", "deferrable"]).default("normal"),
    /** Open routes need no key and count against no workspace. */
    open: z.boolean().default(false),
    /** Workspaces that may use the route; all of them if absent. */
    workspaces: z.array(nameSchema).optional(),
    maxBodyBytes: z.number().int().nonnegative().default(DEFAULT_MAX_BODY_BYTES),
});

const workspaceSchema = z.strictObject({
    /** Requests per second over all hosts together. */
    rate: z.number().positive(),
    /** Requests admitted at once over all hosts together. */
    burst: z.number().positive(),
});

/** Schema of the rules file. */
export const rulesSchema = z.strictObject({
    deployment: nameSchema,
    services: z.record(nameSchema, serviceSchema),
    routes: z.array(routeSchema).min(1),
    workspaces: z.record(nameSchema, workspaceSchema),
    regions: z.record(
        nameSchema,
        z.strictObject({
            /** Requests running in the region at the same time. */
            maxRunning: z.number().int().positive(),
        }),
    ).default({}),
    /** Where callers of a site go, best first; zones before regions. Blocks of the map name the sites. */
    sites: z.record(
        nameSchema,
        z.strictObject({
            availabilityZones: z.array(nameSchema).default([]),
            regions: z.array(nameSchema).default([]),
        }),
    ).default({}),
    links: z.array(z.strictObject({ from: nameSchema, to: nameSchema, capBitsPerSecond: z.number().positive() }))
        .default([]),
    shift: z.strictObject({
        /** Largest share of the traffic that may move within one interval. */
        capShare: z.number().gt(0).max(1).default(DEFAULT_SHIFT_SHARE),
        intervalMs: millisecondsSchema.default(DEFAULT_SHIFT_INTERVAL_MS),
    }).default({ capShare: DEFAULT_SHIFT_SHARE, intervalMs: DEFAULT_SHIFT_INTERVAL_MS }),
});

export type Rules = z.infer<typeof rulesSchema>;
export type Route = z.infer<typeof routeSchema>;
