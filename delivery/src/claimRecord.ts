import { z } from "zod";

/** Schema of the object in the store that holds the claim of one idempotency key. */
export const claimRecordSchema = z.object({
    /** Random id of the claim attempt that wrote the object; only the process that generated it may dispatch. */
    nonce: z.string(),
    host: z.string(),
    /** Digest of the request that the key belongs to. */
    fingerprint: z.string(),
    state: z.enum(["claimed", "done", "not_run"]),
    /** Unix time in ms of the claim; only used to delete claims after a day. */
    claimedAt: z.number(),
    response: z.object({
        status: z.number(),
        headers: z.array(z.string()),
        /** Base64; absent if the response was too large, or too many were waiting, to be stored. */
        body: z.string().optional(),
        digest: z.string().optional(),
    }).optional(),
});

export type ClaimRecord = z.infer<typeof claimRecordSchema>;
