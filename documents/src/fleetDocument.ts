import { z } from "zod";

/** Schema of the pointer object, which names the parts of the document in force. */
export const documentPointerSchema = z.object({
    /** Counts commits from 1. */
    version: z.number().int().positive(),
    /** SHA-256 of the content, in hex. */
    digest: z.string(),
    /** SHA-256 of each part, in order. */
    parts: z.array(z.string()),
    /** Names the commit, so that its writer recognizes it after a lost reply. */
    changeId: z.string(),
});

/** Schema of a document as hosts hold it and pass it on. */
export const fleetDocumentSchema = documentPointerSchema.pick({ version: true, digest: true }).extend({
    name: z.enum(["config", "keys", "plan", "roster", "blocks"]),
    content: z.string(),
});

export type DocumentPointer = z.infer<typeof documentPointerSchema>;
export type FleetDocument = z.infer<typeof fleetDocumentSchema>;
