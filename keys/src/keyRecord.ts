import { z } from "zod";

/** Schema of one key in the ledger. The key itself is never stored. */
export const keyRecordSchema = z.object({
    /** Random name for operators; not derived from the key. */
    id: z.string(),
    workspace: z.string(),
    /** SHA-256 of the key, in hex. */
    hash: z.string(),
    state: z.enum(["issued", "withdrawn"]),
    /** Wall clock of the change to this state, ISO 8601. */
    changedAt: z.string(),
});

export type KeyRecord = z.infer<typeof keyRecordSchema>;
