import { z } from "zod";

/** Schema of the store object of one idempotency key. */
export const claimRecordSchema = z.object({
    /** Belongs to the attempt to claim that wrote the object; only the process that made it up may dispatch. */
    nonce: z.string(),
    host: z.string(),
    /** Digest of the request that the key belongs to. */
    fingerprint: z.string(),
    state: z.enum(["claimed", "done", "not_run"]),
    /** Wall clock in ms of the claim; only the sweep after a day uses it. */
    claimedAt: z.number(),
    response: z.object({
        status: z.number(),
        headers: z.array(z.string()),
        /** Base64; absent if the response was too large to keep. */
        body: z.string().optional(),
        digest: z.string().optional(),
    }).optional(),
});

export type ClaimRecord = z.infer<typeof claimRecordSchema>;
