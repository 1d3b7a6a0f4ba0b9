import { durationSchema } from "@pistachioreel/config";
import { z } from "zod";

/** A duration, as a number of ms or a string with a unit. */
const duration = z.union([z.number().nonnegative(), durationSchema]);
const address = z.string().regex(/^\d+\.\d+\.\d+\.\d+:\d+$/, "an IPv4 address and a port");

/** Schema of the settings of one gateway host. */
export const gatewaySettingsSchema = z.strictObject({
    hostId: z.string().min(1),
    availabilityZone: z.string().min(1),
    region: z.string().min(1),
    /** IP address of this host, from which it opens connections to targets and the store. */
    localAddress: z.string().min(1),
    /** Listener for callers. */
    callers: address,
    /** Listener for readiness checks of the platform. */
    readiness: address,
    /** Listener for lookups of hosts by callers. */
    directory: address,
    /** Listener for other hosts. */
    peers: address,
    /** Listener for scrapes of the metrics. */
    metrics: address,
    /** Shared secrets of the fleet: this host authenticates with the first and accepts all, which allows rotation. */
    peerSecrets: z.array(z.string().min(1)).min(1),
    /** Address of the store. */
    store: address,
    /** Peer listeners of some other hosts, to connect to while there are no links, as when the store lists no hosts. */
    seeds: z.array(address).default([]),
    /** Region of each availability zone. */
    regions: z.record(z.string(), z.string()),
    /** Whether all hosts of the fleet start for the first time, so that the others have yet to register. */
    isFirstStart: z.boolean().default(false),
    /** Processors of the host. */
    processors: z.number().positive().default(1),
    /** Share of each processor that the host may use. Hosts with more processor time are preferred as relays. */
    processorShare: z.number().positive().default(1),
    /** Memory limit of the process, in MB. */
    memoryMb: z.number().positive(),
    /** Share of the descriptors of the process that connections of callers may use; the rest is for targets, the store and other hosts. */
    callerDescriptorShare: z.number().positive().max(1).default(0.6),
    /** Time between SIGTERM and SIGKILL. */
    stopTimeout: duration,
    /** Time within which a target that shuts down must stop receiving requests. */
    drainBound: duration,
    /** Longest time for which callers may cache a response of the directory. */
    maxLookupLifetime: duration,
    /** Retries on a further target that all hosts together may make for each request. */
    retryShare: z.number().nonnegative(),
    /** Retries on a further target that all hosts together may always make within `retryWindow`. */
    retrySlack: z.number().nonnegative(),
    /** Period over which `retrySlack` is counted. */
    retryWindow: duration,
    /** Factor of the `coldPerSecond` of a service, for the requests that a cold target of it can take in one second. */
    coldFactor: z.number().positive(),
    /** Requests that a cold target can take in one second on top of `coldPerSecond` times `coldFactor`. */
    coldSlack: z.number().nonnegative(),
    logLevel: z.enum(["debug", "info", "warn", "error"]).default("info"),
});

/** Settings of one gateway host, with durations in ms. */
export type GatewaySettings = z.infer<typeof gatewaySettingsSchema>;
