import { z } from "zod";

/** Schema of the pointer object, which lists the parts of the document in force. */
export const documentPointerSchema = z.object({
    /** Number of commits of the document, starting at 1. */
    version: z.number().int().positive(),
    /** SHA-256 digest of the content, in hex. */
    digest: z.string(),
    /** SHA-256 digests of the parts in hex, in the order of the content. */
    parts: z.array(z.string()),
    /** Unique id of the commit, by which its writer recognizes it after a lost response. */
    changeId: z.string(),
});

/** Schema of a document as it is replicated between hosts. */
export const fleetDocumentSchema = documentPointerSchema.pick({ version: true, digest: true }).extend({
    /**
     * `config`: inventory and rules. `keys`: key records. `plan`: drains. `roster`: hosts that share the rate limits.
     * `blocks`: digests of the parts of the block map.
     */
    name: z.enum(["config", "keys", "plan", "roster", "blocks"]),
    content: z.string(),
});

/** Pointer to the parts of the version in force. */
export type DocumentPointer = z.infer<typeof documentPointerSchema>;
/** One version of a document that is replicated to all hosts. */
export type FleetDocument = z.infer<typeof fleetDocumentSchema>;
