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
    /** Listener for callers and lookups. */
    callers: listenerSchema,
    /** Listener for health, metrics, status and the time line. */
    admin: listenerSchema,
    /** Listener for other hosts; the first secret is offered, all are accepted, which allows rotation. */
    peers: listenerSchema.extend({ secrets: z.array(z.string().min(MIN_SECRET_CHARACTERS)).min(1) }),
    store: z.strictObject({
        url: z.url({ protocol: /^https?$/, error: "an http or https URL" }),
        /** Proves to the store that the caller is a host; hosts need no right to change what operators own. */
        token: z.string().min(MIN_SECRET_CHARACTERS).optional(),
    }),
    /** Time that running requests get after SIGTERM, in ms. */
    drainTimeoutMs: z.number().int().positive().default(DEFAULT_DRAIN_TIMEOUT_MS),
    logLevel: z.enum(["debug", "info", "warn", "error"]).default("info"),
});

export type Settings = z.infer<typeof settingsSchema>;
