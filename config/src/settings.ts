import { z } from "zod";

const DEFAULT_DRAIN_TIMEOUT_MS = 30_000;
const MIN_SECRET_CHARACTERS = 16;

const listenerSchema = z.strictObject({
    address: z.union([z.ipv4(), z.ipv6()], { error: "an IPv4 or IPv6 address" }),
    port: z.number().int().min(0).max(65_535),
});

/** Schema of the settings of one entry host. */
export const settingsSchema = z.strictObject({
    hostId: z.string().regex(/^[a-z0-9][a-z0-9.-]{0,62}$/, "lower-case letters, digits, dots and hyphens"),
    availabilityZone: z.string().min(1),
    region: z.string().min(1),
    /** Listener for requests of callers and for lookups. */
    callers: listenerSchema,
    /** Listener for health checks, metrics, status and the timeline. */
    admin: listenerSchema,
    /** Listener for other hosts. The host presents the first secret and accepts all of them, which allows rotation. */
    peers: listenerSchema.extend({ secrets: z.array(z.string().min(MIN_SECRET_CHARACTERS)).min(1) }),
    store: z.strictObject({
        url: z.url({ protocol: /^https?$/, error: "an http or https URL" }),
        /** Bearer token for the store. It needs no permission to write the documents that operators change. */
        token: z.string().min(MIN_SECRET_CHARACTERS).optional(),
    }),
    /** Time after SIGTERM in ms within which running requests may complete. */
    drainTimeoutMs: z.number().int().positive().default(DEFAULT_DRAIN_TIMEOUT_MS),
    logLevel: z.enum(["debug", "info", "warn", "error"]).default("info"),
});

/** Settings of one entry host. */
export type Settings = z.infer<typeof settingsSchema>;
