import { z } from "zod";

/** Schema of the first line of an encoded part. */
export const partHeaderSchema = z.object({
    words: z.union([z.literal(1), z.literal(4)]),
    wide: z.boolean(),
    /** Number of blocks. */
    count: z.number().int().positive(),
    /** Site names that the site column refers to. */
    sites: z.array(z.string()),
});

export type PartHeader = z.infer<typeof partHeaderSchema>;
