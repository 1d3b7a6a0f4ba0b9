import {
    comparePositions,
    type FeedEntry,
    type FeedPage,
    type StorePosition,
    supersedes,
} from "@pistachioreel/platform-store";

type LiveEntry<T> = FeedEntry<T> & { readonly value: T; };

/** Above this number of entries, half of the tombstones are removed: those of the objects that became known first. */
const PRUNING_THRESHOLD_ENTRIES = 2_000;

/**
 * Local copy of the objects of one kind. A removed object leaves a tombstone, an entry without a value, so that an older state
 * of it is not restored.
 */
export class FeedCopy<T> {
    /** Number of changes applied since the start. */
    changeCount = 0;
    private readonly entries = new Map<string, FeedEntry<T>>();
    private newestPosition: StorePosition = { era: 0, revision: 0 };

    /** @param onChange Called with the entries that changed; an entry without a value is a removal. */
    constructor(private readonly onChange: (changed: readonly FeedEntry<T>[]) => void) {}

    /** Position up to which all changes are known; 0 if none is. Some later ones may be known too. */
    get position(): StorePosition {
        return this.newestPosition;
    }

    /** Entries of the objects that exist. */
    get liveEntries(): readonly LiveEntry<T>[] {
        return [...this.entries.values()].filter((entry): entry is LiveEntry<T> => entry.value !== undefined);
    }

    /** All entries, tombstones included, for a host that is behind. */
    get page(): FeedPage<T> {
        return { entries: [...this.entries.values()], ...this.newestPosition };
    }

    /** Whether there are objects that the store has not confirmed since it came back from an older copy. */
    hasEntriesBefore(era: number): boolean {
        return this.liveEntries.some(entry => entry.era < era);
    }

    /**
     * Applies the entries that are newer than the known ones. Entries later than the page's position do not advance this copy: a read
     * of several requests shows some of the changes made meanwhile, and not all.
     */
    apply({ entries, ...end }: FeedPage<T>): void {
        const changed = entries.flatMap(entry => {
            const known = this.entries.get(entry.name);
            return known === undefined || supersedes(entry, known) ? [withLastOrder(entry, known)] : [];
        });
        for (const entry of changed) {
            this.entries.set(entry.name, entry);
            if (comparePositions(entry, end) <= 0) {
                this.advance(entry);
            }
        }
        this.changeCount += changed.length;
        this.pruneTombstones();
        if (changed.length > 0) {
            this.onChange(changed);
        }
    }

    /** Records that all changes up to a position are known. */
    advance({ era, revision }: StorePosition): void {
        if (comparePositions({ era, revision }, this.newestPosition) > 0) {
            this.newestPosition = { era, revision };
        }
    }

    /**
     * Tombstones of the objects that a full read no longer lists, unless they changed after it.
     *
     * @param includesEarlierEras Whether to remove also objects that the store had before it came back from an older copy. It
     * may just not have them yet.
     */
    removalsImpliedBy(
        { entries, era, revision }: FeedPage<T>,
        { includesEarlierEras }: { readonly includesEarlierEras: boolean; },
    ): FeedEntry<T>[] {
        const listedNames = new Set(entries.map(({ name }) => name));
        const isImplied = (entry: FeedEntry<T>) =>
            entry.era === era ? entry.revision <= revision : includesEarlierEras && entry.era < era;
        return this.liveEntries.filter(entry => isImplied(entry) && !listedNames.has(entry.name))
            .map(({ name, order }) => ({ name, era, revision, value: undefined, order }));
    }

    private pruneTombstones(): void {
        if (this.entries.size <= PRUNING_THRESHOLD_ENTRIES) {
            return;
        }
        const removed = [...this.entries.values()].filter(({ value }) => value === undefined);
        removed.slice(0, removed.length / 2).forEach(({ name }) => this.entries.delete(name));
    }
}

/** A tombstone keeps the order of the value that was known, by which an older copy of the object is recognized. */
function withLastOrder<T>(entry: FeedEntry<T>, known: FeedEntry<T> | undefined): FeedEntry<T> {
    return entry.value === undefined && known?.order !== undefined
        ? { ...entry, order: laterOrder(known.order, entry.order) }
        : entry;
}

function laterOrder(a: readonly number[], b: readonly number[] = []): readonly number[] {
    const index = a.findIndex((part, i) => part !== b[i]);
    return index === -1 || a[index]! > (b[index] ?? -Infinity) ? a : b;
}
