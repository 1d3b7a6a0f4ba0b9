import { z } from "zod";

/** Schema of a planned drain: a shift of traffic away from a part of the fleet. */
const drainSchema = z.strictObject({
    scope: z.enum(["host", "target", "zone", "region"]),
    /** Host id, target id (`address:port`), or the name of the zone or region. */
    name: z.string().min(1),
    /** Unix time in ms at which the shift starts. */
    startedAt: z.number().nonnegative(),
    /** Unix time in ms by which the shift should be complete; the shift cap takes precedence. */
    finishBy: z.number().nonnegative().optional(),
});

/** Schema of the document `plan`. When an entry is removed, the traffic returns under the same cap. */
export const planSchema = z.strictObject({ drains: z.array(drainSchema) });

export type Plan = z.infer<typeof planSchema>;
