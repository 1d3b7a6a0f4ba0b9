import type { TimelineEvent } from "./timelineEvent.js";

interface TimelineOptions {
    /** Number of events kept before the oldest is overwritten; 10 000 by default. */
    readonly capacity?: number;
    /** Unix time in ms. */
    readonly now?: () => number;
}

type RecordedFields = Pick<TimelineEvent, "cause" | "request" | "workspace" | "fields">;

const DEFAULT_CAPACITY_EVENTS = 10_000;

/** Keeps the newest events of a process in a ring buffer. */
export class Timeline {
    private readonly events: TimelineEvent[] = [];
    private readonly capacity: number;
    private readonly now: () => number;
    private sequence = 0;

    constructor(private readonly host: string, private readonly incarnation: string, opts: TimelineOptions = {}) {
        this.capacity = opts.capacity ?? DEFAULT_CAPACITY_EVENTS;
        this.now = opts.now ?? Date.now;
    }

    /**
     * Records an event and returns its reference, `host/incarnation/sequence`, which other hosts can give as the cause
     * of their events.
     */
    record(event: string, recorded: RecordedFields = {}): string {
        const sequence = ++this.sequence;
        const { host, incarnation } = this;
        this.events[(sequence - 1) % this.capacity] = {
            time: this.now(),
            host,
            incarnation,
            sequence,
            event,
            ...recorded,
        };
        return `${host}/${incarnation}/${sequence}`;
    }

    /** The kept events, oldest first. */
    snapshot(): TimelineEvent[] {
        const oldestIndex = this.sequence % this.capacity;
        return this.sequence <= this.capacity
            ? [...this.events]
            : [...this.events.slice(oldestIndex), ...this.events.slice(0, oldestIndex)];
    }
}
