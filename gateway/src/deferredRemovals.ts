import type { Target, TargetRegistry } from "@pistachioreel/placement";
import type { FeedEntry } from "@pistachioreel/platform-store";

interface DeferredRemovalsOptions {
    readonly registry: TargetRegistry;
    /** Monotonic time in ms at which the store last recovered; `undefined` while it is unreachable. */
    readonly storeRegainedAt: () => number | undefined;
    /** Time after its removal from the store within which a target must stop receiving requests, in ms. */
    readonly drainBoundMs: number;
    /** Called when a deferred removal takes effect. */
    readonly onRemoved: () => void;
    /** Monotonic time in ms. */
    readonly now: () => number;
}

/** Live targets register again within this time after the store has recovered. */
const REREGISTRATION_MS = 2_200;
/** Time within the drain bound that remains for requests in transit when a removal takes effect. */
const DRAIN_MARGIN_MS = 700;
/** This many removals at once, of targets that were not draining, are more likely expired entries than shutdowns. */
const MASS_REMOVAL_COUNT = 3;
/** Removals within this time count as simultaneous. */
const MASS_REMOVAL_WINDOW_MS = 600;

/**
 * Applies changes of targets to the registry. Entries expire while the store is unreachable and are written again soon
 * after it recovers, so removals at such a time, and removals of many targets at once, are deferred. A target that
 * registers again meanwhile is kept. Targets that were draining are removed at once. The drain bound counts from the time at
 * which a target was last known to exist, as it may have been removed just after that.
 */
export class DeferredRemovals {
    private readonly timers = new Map<string, NodeJS.Timeout>();
    private recentRemovalTimes: number[] = [];

    constructor(private readonly opts: DeferredRemovalsOptions) {}

    /** Applies changes and returns the longest deferral of a removal among them, in ms; 0 if none is deferred. */
    apply(changed: readonly FeedEntry<Target>[]): number {
        const { registry } = this.opts;
        const removed = changed.filter(({ name, value }) => value === undefined && registry.get(name) !== undefined);
        const longestDelayMs = this.delayFor(
            removed.filter(({ name }) => registry.get(name)?.isDraining === false).length,
        );
        for (const { name, value } of changed) {
            if (value !== undefined) {
                this.cancel(name);
                registry.put(value);
            }
        }
        let deferredMs = 0;
        for (const { name, lastSeenAt } of removed) {
            const delayMs = Math.min(longestDelayMs, this.drainTimeLeft(lastSeenAt));
            if (delayMs === 0 || registry.get(name)?.isDraining === true) {
                registry.remove(name);
            }
            else {
                this.defer(name, delayMs);
                deferredMs = Math.max(deferredMs, delayMs);
            }
        }
        return deferredMs;
    }

    /** Time in ms for which a target may still get requests that was last known to exist then. */
    private drainTimeLeft(lastSeenAt = this.opts.now()): number {
        const { drainBoundMs, now } = this.opts;
        return Math.max(0, lastSeenAt + drainBoundMs - DRAIN_MARGIN_MS - now());
    }

    /** @param unannouncedCount Number of removed targets that were not draining. */
    private delayFor(unannouncedCount: number): number {
        const now = this.opts.now();
        this.recentRemovalTimes = [
            ...this.recentRemovalTimes.filter(at => now - at < MASS_REMOVAL_WINDOW_MS),
            ...new Array<number>(unannouncedCount).fill(now),
        ];
        const regainedAt = this.opts.storeRegainedAt();
        if (regainedAt === undefined || this.recentRemovalTimes.length >= MASS_REMOVAL_COUNT) {
            return REREGISTRATION_MS;
        }
        return Math.max(0, regainedAt + REREGISTRATION_MS - now);
    }

    private defer(name: string, delayMs: number): void {
        this.cancel(name);
        const timer = setTimeout(() => {
            this.timers.delete(name);
            this.opts.registry.remove(name);
            this.opts.onRemoved();
        }, delayMs);
        this.timers.set(name, timer);
    }

    private cancel(name: string): void {
        clearTimeout(this.timers.get(name));
        this.timers.delete(name);
    }
}
