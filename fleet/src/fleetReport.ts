import { sharedStatementSchema } from "@pistachioreel/placement";
import { z } from "zod";

const countsSchema = z.record(z.string(), z.number());
/** Requests that were received and admitted, by workspace, or by target if the target has stated a limit. */
const usageSchema = z.record(z.string(), z.tuple([z.number(), z.number()]).readonly());

/** State of several hosts, summed up by a relay. */
const summarySchema = z.object({
    /** Number of hosts that are summed up. */
    hosts: z.number().int().nonnegative(),
    /** Running requests at each target, by target id. */
    running: countsSchema,
    /** Requests received and admitted since the relay's start, by workspace, where they have changed. */
    admitted: usageSchema,
    /** Hosts that accept callers, by availability zone, for the zones where they have changed. */
    readyHosts: z.record(z.string(), z.object({ region: z.string(), callers: z.array(z.string()).readonly() })),
});

/** Schema of the state that a host sends to its peers with additional heartbeats. */
export const fleetReportSchema = z.object({
    /** `ready`: accepts callers. `leaving`: is shutting down. */
    state: z.enum(["starting", "ready", "leaving"]),
    /** `address:port` of the sender's listener for callers. */
    callers: z.string(),
    /** Requests of the sender that are running at each target, by target id; empty for other availability zones. */
    running: countsSchema,
    /**
     * Requests that the sender has received and admitted since its start, by workspace, where they have changed;
     * empty for other availability zones.
     */
    admitted: usageSchema,
    /** Tokens left and requests per second of all hosts, by workspace; in the first report on a link, for its own zone. */
    limitStates: usageSchema.optional(),
    /** Newest revision that the sender knows of each feed of which it has a full copy. */
    revisions: z.record(z.string(), z.number()),
    /** Era of the store of each of these revisions; 0 where it is absent. */
    eras: z.record(z.string(), z.number()).optional(),
    /** Number of changes that the sender has applied to each of these feeds since its start; for its own zone. */
    changeCounts: z.record(z.string(), z.number()).optional(),
    /** Pairs of a target's key and an object that the target has started to handle. */
    warmed: z.array(z.tuple([z.string(), z.string()])),
    /** What targets have stated of themselves, where it has changed; absent from hosts that do not know of statements. */
    stated: z.array(sharedStatementSchema).optional(),
    /**
     * For a host of another availability zone: all hosts of the sender's zone. From a relay to a host of its own zone:
     * all hosts of the fleet but the sender and the receiver.
     */
    summary: summarySchema.optional(),
    /** Time since the store last recovered, in ms; `null` while the sender cannot reach it; absent if it always did. */
    storeRegainedMs: z.number().nonnegative().nullable().optional(),
    /** How requests are passed on to the sender, and whether it reaches targets itself; absent from hosts that take none. */
    detour: z.object({ token: z.string(), isCutOff: z.boolean() }).optional(),
    /** Age of the sender's newest check of the store, in ms; its feeds contain what the check has shown. */
    storeCheckedMs: z.number().nonnegative().optional(),
});

/** State that a host sends to its peers. */
export type FleetReport = z.infer<typeof fleetReportSchema>;
