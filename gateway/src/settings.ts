import { durationSchema } from "@pistachioreel/config";
import { z } from "zod";

/** A time: a number of ms, or a number with its unit. */
const duration = z.union([z.number().nonnegative(), durationSchema]);
const address = z.string().regex(/^\d+\.\d+\.\d+\.\d+:\d+$/, "an IPv4 address and a port");

/** Schema of the settings of one gateway host. */
export const gatewaySettingsSchema = z.strictObject({
    hostId: z.string().min(1),
    availabilityZone: z.string().min(1),
    region: z.string().min(1),
    /** Own IP address, from which connections to others come. */
    localAddress: z.string().min(1),
    /** Listener for requests of callers. */
    callers: address,
    /** Listener of the platform's readiness checks. */
    readiness: address,
    /** Listener of look-ups. */
    directory: address,
    /** Listener for other hosts. */
    peers: address,
    metrics: address,
    /** The first is offered to other hosts, all are accepted. */
    peerSecrets: z.array(z.string().min(1)).min(1),
    store: address,
    /** Listeners of some other hosts, for a start at which the store names none. */
    seeds: z.array(address).default([]),
    /** Region of each availability zone. */
    regions: z.record(z.string(), z.string()),
    /** Memory that the process may use, in MB. */
    memoryMb: z.number().positive(),
    /** Time between SIGTERM and SIGKILL. */
    stopTimeout: duration,
    /** Time within which a leaving target must get no more requests. */
    drainBound: duration,
    /** Longest time for which callers may keep an answer of the directory. */
    maxLookupLifetime: duration,
    /** Sends to a further target that all hosts together may make for each request. */
    retryShare: z.number().nonnegative(),
    /** Sends to a further target that all hosts together may make in any case within the window. */
    retrySlack: z.number().nonnegative(),
    retryWindow: duration,
    /** Requests above `coldPerSecond` of its service, times `coldFactor`, that a cold target bears in one second. */
    coldFactor: z.number().positive(),
    coldSlack: z.number().nonnegative(),
    logLevel: z.enum(["debug", "info", "warn", "error"]).default("info"),
});

export type GatewaySettings = z.infer<typeof gatewaySettingsSchema>;
