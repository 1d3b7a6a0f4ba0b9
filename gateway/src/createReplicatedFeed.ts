import type { FeedPage } from "@pistachioreel/platform-store";
import { z } from "zod";
import type { FeedFollower } from "./feedFollower.js";
import type { ReplicatedFeed } from "./replicatedFeed.js";

const pageSchema = z.object({
    entries: z.array(z.object({ name: z.string(), revision: z.number(), value: z.unknown() })),
    revision: z.number(),
});

/**
 * Makes the objects of a followed feed available for replication between hosts.
 *
 * @param decode Decodes a value received from another host; `undefined` if it is not valid, which counts as a removal.
 * @param encode Encodes a value as JSON data for another host.
 */
export function createReplicatedFeed<T>(
    follower: FeedFollower<T>,
    decode: (value: unknown) => T | undefined,
    encode: (value: T) => unknown,
): ReplicatedFeed {
    return {
        get revision() {
            return follower.revision;
        },
        get isComplete() {
            return follower.hasSynced;
        },
        get changeCount() {
            return follower.changeCount;
        },
        encode(after = -1) {
            const { entries, revision } = follower.page;
            return {
                entries: entries.filter(entry => entry.revision > after || entry.value === undefined).map(entry => ({
                    name: entry.name,
                    revision: entry.revision,
                    value: entry.value === undefined ? null : encode(entry.value),
                })),
                revision,
            };
        },
        merge(sent) {
            const parsed = pageSchema.safeParse(sent);
            if (!parsed.success) {
                return false;
            }
            const entries = parsed.data.entries.map(({ name, revision, value }) => ({
                name,
                revision,
                value: value === null || value === undefined ? undefined : decode(value),
            }));
            const page: FeedPage<T> = { entries, revision: parsed.data.revision };
            follower.merge(page);
            return true;
        },
    };
}
