import { z } from "zod";

const DEFAULT_DEADLINE_MS = 10_000;
const DEFAULT_ATTEMPT_TIMEOUT_MS = 3_000;
const DEFAULT_MAX_BODY_BYTES = 64 * 1024 * 1024;
const DEFAULT_SHIFT_SHARE = 0.1;
const DEFAULT_SHIFT_INTERVAL_MS = 1_000;

const millisecondsSchema = z.number().int().positive();
const nameSchema = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, "lower-case letters, digits and hyphens");

const serviceSchema = z.strictObject({
    /** Time limit of a request from its arrival in ms, unless the caller sets a shorter one. */
    deadlineMs: millisecondsSchema.default(DEFAULT_DEADLINE_MS),
    /** Time in ms without progress, such as a part of the response, after which an attempt times out. */
    attemptTimeoutMs: millisecondsSchema.default(DEFAULT_ATTEMPT_TIMEOUT_MS),
});

/** Schema of a route, which assigns requests to a service. */
export const routeSchema = z.strictObject({
    /** Path prefix. A request uses the route with the longest prefix that matches whole segments of its path. */
    path: z.string().regex(/^\/[^?#\s]*$/, "a path that starts with /"),
    methods: z.array(z.enum(["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"])).min(1),
    service: nameSchema,
    /** Whether targets may process the same request more than once, so that it can be retried after it may have run. */
    idempotent: z.boolean(),
    priority: z.enum(["urgent", "normal", "deferrable"]).default("normal"),
    /** Whether requests need no key and count towards the limits of no workspace. */
    open: z.boolean().default(false),
    /** Workspaces that may use the route; all workspaces if absent. */
    workspaces: z.array(nameSchema).optional(),
    maxBodyBytes: z.number().int().nonnegative().default(DEFAULT_MAX_BODY_BYTES),
});

const workspaceSchema = z.strictObject({
    /** Request rate limit across all hosts, in requests per second. */
    rate: z.number().positive(),
    /** Maximum number of requests admitted at once (burst size), across all hosts. */
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
            /** Maximum number of requests that run in the region at the same time. */
            maxRunning: z.number().int().positive(),
        }),
    ).default({}),
    /**
     * Zones and regions that callers of a site are sent to, in order of preference, zones before regions. The block map
     * assigns client addresses to sites.
     */
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
        /** Maximum share of the traffic that may move within one interval, from 0 to 1. */
        capShare: z.number().gt(0).max(1).default(DEFAULT_SHIFT_SHARE),
        intervalMs: millisecondsSchema.default(DEFAULT_SHIFT_INTERVAL_MS),
    }).default({ capShare: DEFAULT_SHIFT_SHARE, intervalMs: DEFAULT_SHIFT_INTERVAL_MS }),
});

/** Content of the rules file. */
export type Rules = z.infer<typeof rulesSchema>;
/** Assigns requests that match a path prefix and a method to a service. */
export type Route = z.infer<typeof routeSchema>;
