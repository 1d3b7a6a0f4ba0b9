import { z } from "zod";

/** Schema of the stored record of a key. The key itself is never stored. */
export const keyRecordSchema = z.object({
    /** Random id by which operators refer to the key; not derived from it. */
    id: z.string(),
    workspace: z.string(),
    /** SHA-256 hash of the key, in hex. */
    hash: z.string(),
    state: z.enum(["issued", "withdrawn"]),
    /** Wall-clock time of the change to this state, in ISO 8601. */
    changedAt: z.string(),
});

/** Stored record of a key: its hash, workspace and state. */
export type KeyRecord = z.infer<typeof keyRecordSchema>;
