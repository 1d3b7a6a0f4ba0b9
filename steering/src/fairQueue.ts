import type { SlotRequest } from "./slotRequest.js";

type Priority = SlotRequest["priority"];

interface QueuePosition {
    readonly workspace: string;
    readonly priority: Priority;
    /** Cost relative to the mean request of the service. */
    readonly cost: number;
}

/** `taken`: the item leaves the queue; `skipped`: another item may still be taken; `exhausted`: no item can be taken. */
export type TakeResult = "taken" | "skipped" | "exhausted";

interface FairQueueOptions {
    /** Longest queue of one workspace, in items of all priorities. */
    readonly maxPerWorkspace: number;
}

interface Entry<T> {
    readonly item: T;
    readonly cost: number;
}

interface Flow<T> {
    readonly entries: Set<Entry<T>>;
    deficit: number;
}

interface PriorityClass<T> {
    readonly flows: Map<string, Flow<T>>;
    /** Items of higher classes that were taken while this class was waiting. */
    bypassCount: number;
}

const PRIORITIES: readonly Priority[] = ["urgent", "normal", "deferrable"];
/** A waiting class gets at least one of this many items, which is the minimum share of 10 %. */
const MIN_SHARE_INTERVAL = 10;
const QUANTUM = 1;
/** Bounds the rounds that one expensive item can take, and the advantage of cheap ones. */
const MAX_COST = 8;
const MIN_COST = 0.25;
/** Items that one flow may offer after skipped ones; bounds the work of one call. */
const MAX_OFFERED_PER_FLOW = 4;

/** Queue with priorities and, within each of them, deficit round robin between workspaces. */
export class FairQueue<T> {
    private readonly classes = new Map<Priority, PriorityClass<T>>(
        PRIORITIES.map(priority => [priority, { flows: new Map(), bypassCount: 0 }]),
    );
    private readonly lengths = new Map<string, number>();
    private total = 0;

    constructor(private readonly opts: FairQueueOptions) {}

    get length(): number {
        return this.total;
    }

    lengthOf(workspace: string): number {
        return this.lengths.get(workspace) ?? 0;
    }

    /** Adds an item. Returns the function that removes it again, or `undefined` if the workspace's queue is full. */
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

    /** Offers items in fair order until one is taken; tells whether one was. */
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

    /** Priorities with waiting items; those that are due for their minimum share come first. */
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

    /** The first flow of the map is the one whose turn it is; a flow whose turn is over moves to the end. */
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
