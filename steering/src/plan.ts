import { z } from "zod";

/** Schema of one planned move of work away from a part of the fleet. */
const drainSchema = z.strictObject({
    scope: z.enum(["host", "target", "zone", "region"]),
    /** Host id, target id (`address:port`), or the name of the zone or region. */
    name: z.string().min(1),
    /** Wall clock in ms since 1970 at which the work starts to move. */
    startedAt: z.number().nonnegative(),
    /** Wall clock in ms since 1970 by which the work should have moved; the shift cap takes precedence. */
    finishBy: z.number().nonnegative().optional(),
});

/** Schema of the document `plan`. An entry that is removed returns the work under the same cap. */
export const planSchema = z.strictObject({ drains: z.array(drainSchema) });

export type Plan = z.infer<typeof planSchema>;
