import { z } from "zod";

/** Schema of the content of the document `blocks`: the digests of all parts of the block map. */
export const blockMapContentSchema = z.object({ parts: z.array(z.string()) });

/** Content of the document `blocks`. */
export type BlockMapContent = z.infer<typeof blockMapContentSchema>;
