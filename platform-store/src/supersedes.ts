import { comparePositions } from "./comparePositions.js";
import type { FeedEntry } from "./objectFeed.js";

/**
 * Whether an entry replaces the known one of the same name. Within an era, the later change does, unless it is an earlier write that the
 * store has carried out late. The copy from which a store has come
 * back is older than what is known, so between eras the content decides, if its writer numbers it; but a removal in a later era
 * is a change, since a copy removes nothing.
 */
export function supersedes(candidate: FeedEntry<unknown>, known: FeedEntry<unknown>): boolean {
    const isRemoval = candidate.value === undefined && known.value !== undefined;
    if (candidate.era === known.era) {
        // A removal can have the same revision as the object's last change.
        const isLater = candidate.revision > known.revision || candidate.revision === known.revision && isRemoval;
        return isLater && !isLateWrite(candidate, known);
    }
    if (isRemoval && candidate.era > known.era) {
        return true;
    }
    const isReturn = candidate.value !== undefined && known.value === undefined;
    const order = compareOrders(candidate.order, known.order);
    if (order !== undefined && order !== 0) {
        return order > 0;
    }
    if (order === 0 && (isReturn || isRemoval)) {
        return isRemoval;
    }
    return comparePositions(candidate, known) > 0;
}

/**
 * Whether the candidate was written before the known entry, as only the least significant number of its writer shows: the others may go
 * back with the clock of a writer that has started again.
 */
function isLateWrite({ value, order }: FeedEntry<unknown>, { order: knownOrder }: FeedEntry<unknown>): boolean {
    if (value === undefined || order === undefined || knownOrder === undefined) {
        return false;
    }
    const last = order.length - 1;
    return order.every((part, i) => i === last ? part < knownOrder[i]! : part === knownOrder[i]);
}

/** `undefined` if one of them is not known. */
function compareOrders(a: FeedEntry<unknown>["order"], b: FeedEntry<unknown>["order"]): number | undefined {
    if (a === undefined || b === undefined) {
        return undefined;
    }
    const index = a.findIndex((part, i) => part !== b[i]);
    return index === -1 ? 0 : a[index]! - (b[index] ?? 0);
}
