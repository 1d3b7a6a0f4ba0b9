import { z } from "zod";

/** Schema of a roster member. A restarted process is a different member, as its predecessor may only be paused. */
export const rosterMemberSchema = z.object({
    id: z.string(),
    incarnation: z.string(),
    availabilityZone: z.string(),
});

export type RosterMember = z.infer<typeof rosterMemberSchema>;
