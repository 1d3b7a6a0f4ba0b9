import { z } from "zod";

/** Schema of the document `blocks`: the digests of the parts of the map. */
export const blockMapContentSchema = z.object({ parts: z.array(z.string()) });

export type BlockMapContent = z.infer<typeof blockMapContentSchema>;
