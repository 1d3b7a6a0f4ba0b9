import { comparePositions, type FeedEntry } from "@pistachioreel/platform-store";
import { z } from "zod";
import type { FeedFollower } from "./feedFollower.js";
import type { ReplicatedFeed } from "./replicatedFeed.js";

const positionFields = { era: z.number().int().nonnegative().default(0), revision: z.number() };
const pageSchema = z.object({
    ...positionFields,
    entries: z.array(z.object({
        ...positionFields,
        name: z.string(),
        value: z.unknown(),
        order: z.array(z.number()).optional(),
        /** Time since a removed object was last known to exist, in ms. */
        lastSeenMs: z.number().nonnegative().optional(),
    })),
});

interface ReplicatedFeedOptions<T> {
    /** Decodes a value received from another host; `undefined` if it is not valid, which counts as a removal. */
    readonly decode: (value: unknown) => T | undefined;
    /** Encodes a value as JSON data for another host. */
    readonly encode: (value: T) => unknown;
    /** Monotonic time in ms. */
    readonly now: () => number;
}

/** Longer times since an object was last known to exist are reported as this one. */
const MAX_LAST_SEEN_MS = 600_000;

/** Makes the objects of a followed feed available for replication between hosts. */
export function createReplicatedFeed<T>(
    follower: FeedFollower<T>,
    { decode, encode, now }: ReplicatedFeedOptions<T>,
): ReplicatedFeed {
    return {
        get position() {
            return follower.position;
        },
        get isComplete() {
            return follower.hasSynced;
        },
        get changeCount() {
            return follower.changeCount;
        },
        encode(after = { era: 0, revision: -1 }) {
            const { entries, ...position } = follower.page;
            // Entries of earlier eras are kept although the store has lost them, so the other host may lack them.
            const isMissing = (entry: FeedEntry<T>) =>
                entry.value === undefined || entry.era < position.era || comparePositions(entry, after) > 0;
            return {
                ...position,
                entries: entries.filter(isMissing).map(({ value, lastSeenAt, ...entry }) => ({
                    ...entry,
                    value: value === undefined ? null : encode(value),
                    ...(lastSeenAt === undefined ? {} : { lastSeenMs: Math.min(now() - lastSeenAt, MAX_LAST_SEEN_MS) }),
                })),
            };
        },
        merge(sent) {
            const parsed = pageSchema.safeParse(sent);
            if (!parsed.success) {
                return false;
            }
            const entries = parsed.data.entries.map(({ value, lastSeenMs, ...entry }) => ({
                ...entry,
                value: value === null || value === undefined ? undefined : decode(value),
                lastSeenAt: lastSeenMs === undefined ? undefined : now() - lastSeenMs,
            }));
            follower.merge({ ...parsed.data, entries });
            return true;
        },
    };
}
