import { z } from "zod";

/** Schema of the first line of an encoded part. */
export const partHeaderSchema = z.object({
    /** Number of 32-bit words in an address. */
    words: z.union([z.literal(1), z.literal(4)]),
    /** Whether the part holds the wide blocks. */
    wide: z.boolean(),
    /** Number of blocks. */
    count: z.number().int().positive(),
    /** Site names, by the indexes in the site column. */
    sites: z.array(z.string()),
});

/** First line of an encoded part. */
export type PartHeader = z.infer<typeof partHeaderSchema>;
