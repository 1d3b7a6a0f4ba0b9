import type { SlotRequest } from "./slotRequest.js";

type Priority = SlotRequest["priority"];

interface QueuePosition {
    readonly workspace: string;
    readonly priority: Priority;
    /** Cost relative to the mean request of the service. */
    readonly cost: number;
}

/**
 * Result of an offer: `taken` removes the item, `skipped` leaves it and offers others, `exhausted` ends the call, as no
 * item can be taken now.
 */
export type TakeResult = "taken" | "skipped" | "exhausted";

interface FairQueueOptions {
    /** Maximum number of queued items of one workspace, over all priorities. */
    readonly maxPerWorkspace: number;
}

interface Entry<T> {
    readonly item: T;
    readonly cost: number;
}

interface Flow<T> {
    readonly entries: Set<Entry<T>>;
    /** Cost that the flow may still spend before its turn is over. */
    deficit: number;
}

interface PriorityClass<T> {
    readonly flows: Map<string, Flow<T>>;
    /** Items of other classes that were taken in a row while this class had items waiting. */
    bypassCount: number;
}

const PRIORITIES: readonly Priority[] = ["urgent", "normal", "deferrable"];
/** A class with waiting items gets at least one of this many items, a minimum share of 10 %. */
const MIN_SHARE_INTERVAL = 10;
/** Deficit that a flow gains per round, the cost of a mean request. */
const QUANTUM = 1;
/** Costs are clamped to bound the rounds that an expensive item waits and the advantage of cheap ones. */
const MAX_COST = 8;
const MIN_COST = 0.25;
/** Items that one flow may offer in a row while they are skipped; bounds the work of one call. */
const MAX_OFFERED_PER_FLOW = 4;

/** Priority queue with deficit round robin between workspaces within each priority. */
export class FairQueue<T> {
    private readonly classes = new Map<Priority, PriorityClass<T>>(
        PRIORITIES.map(priority => [priority, { flows: new Map(), bypassCount: 0 }]),
    );
    private readonly lengths = new Map<string, number>();
    private total = 0;

    constructor(private readonly opts: FairQueueOptions) {}

    /** Number of queued items of all workspaces. */
    get length(): number {
        return this.total;
    }

    /** Number of queued items of a workspace. */
    lengthOf(workspace: string): number {
        return this.lengths.get(workspace) ?? 0;
    }

    /** Adds an item. Returns a function that removes it, or `undefined` if the workspace's queue is full. */
    push(item: T, { workspace, priority, cost }: QueuePosition): (() => void) | undefined {
        if (this.lengthOf(workspace) >= this.opts.maxPerWorkspace) {
            return undefined;
        }
        const { flows } = this.classOf(priority);
        const flow = flows.get(workspace) ?? { entries: new Set(), deficit: QUANTUM };
        flows.set(workspace, flow);
        const entry = { item, cost: Math.min(MAX_COST, Math.max(MIN_COST, cost)) };
        flow.entries.add(entry);
        this.adjustLength(workspace, 1);
        return () => this.remove(priority, workspace, flow, entry);
    }

    /** Offers items in scheduling order until one is taken. Returns whether one was. */
    take(offer: (item: T) => TakeResult): boolean {
        for (const priority of this.waitingPriorities()) {
            const result = this.takeFromClass(priority, offer);
            if (result === "taken") {
                this.updateBypassCounts(priority);
            }
            if (result !== "skipped") {
                return result === "taken";
            }
        }
        return false;
    }

    private classOf(priority: Priority): PriorityClass<T> {
        return this.classes.get(priority) as PriorityClass<T>;
    }

    /** Priorities with queued items; those due for their minimum share come first. */
    private waitingPriorities(): Priority[] {
        const waiting = PRIORITIES.filter(priority => this.classOf(priority).flows.size > 0);
        const isDue = (priority: Priority) => this.classOf(priority).bypassCount >= MIN_SHARE_INTERVAL - 1;
        return [...waiting.filter(isDue), ...waiting.filter(priority => !isDue(priority))];
    }

    private updateBypassCounts(taken: Priority): void {
        for (const priority of PRIORITIES) {
            const priorityClass = this.classOf(priority);
            if (priority === taken || priorityClass.flows.size === 0) {
                priorityClass.bypassCount = 0;
            }
            else {
                priorityClass.bypassCount++;
            }
        }
    }

    /** Deficit round robin: the first flow of the map has its turn; when the turn is over, it moves to the end. */
    private takeFromClass(priority: Priority, offer: (item: T) => TakeResult): TakeResult {
        const { flows } = this.classOf(priority);
        const skipped = new Set<Flow<T>>();
        while (skipped.size < flows.size) {
            const [workspace, flow] = flows.entries().next().value as [string, Flow<T>];
            const [head] = flow.entries;
            const affordable = head !== undefined && flow.deficit >= head.cost;
            if (!affordable && !skipped.has(flow)) {
                flow.deficit += QUANTUM;
            }
            if (affordable && !skipped.has(flow)) {
                const result = this.offerFromFlow(priority, workspace, flow, offer);
                if (result !== "skipped") {
                    return result;
                }
                skipped.add(flow);
            }
            flows.delete(workspace);
            flows.set(workspace, flow);
        }
        return "skipped";
    }

    private offerFromFlow(
        priority: Priority,
        workspace: string,
        flow: Flow<T>,
        offer: (item: T) => TakeResult,
    ): TakeResult {
        let offered = 0;
        for (const entry of flow.entries) {
            if (offered++ >= MAX_OFFERED_PER_FLOW) {
                break;
            }
            const result = offer(entry.item);
            if (result === "taken") {
                flow.deficit -= entry.cost;
                this.remove(priority, workspace, flow, entry);
            }
            if (result !== "skipped") {
                return result;
            }
        }
        return "skipped";
    }

    private remove(priority: Priority, workspace: string, flow: Flow<T>, entry: Entry<T>): void {
        if (!flow.entries.delete(entry)) {
            return;
        }
        this.adjustLength(workspace, -1);
        const { flows } = this.classOf(priority);
        if (flow.entries.size === 0 && flows.get(workspace) === flow) {
            flows.delete(workspace);
        }
    }

    private adjustLength(workspace: string, change: number): void {
        this.total += change;
        const length = this.lengthOf(workspace) + change;
        if (length > 0) {
            this.lengths.set(workspace, length);
        }
        else {
            this.lengths.delete(workspace);
        }
    }
}
