import type { Failure } from "@pistachioreel/result-code";
import type { Result } from "neverthrow";
import { z } from "zod";

/** Schema of one entry of the platform's host list. */
export const listedHostSchema = z.object({
    /** Unique id of the host. */
    id: z.string(),
    /** `address:port` of the listener for callers. */
    callers: z.string(),
    /** `address:port` of the listener for other hosts. */
    peers: z.string(),
    /** `address:port` of the admin listener. */
    admin: z.string(),
    availabilityZone: z.string(),
    region: z.string(),
    state: z.enum(["live", "leaving"]),
});

/** A host as the platform's host list describes it. */
export type ListedHost = z.infer<typeof listedHostSchema>;

/** The platform's list of live and leaving hosts, which may be out of date. */
export interface HostList {
    /** Reads the list. Failures: `storeUnreachable`, `storeDenied`, `storeRejected`. */
    hosts(): Promise<Result<readonly ListedHost[], Failure>>;
}
