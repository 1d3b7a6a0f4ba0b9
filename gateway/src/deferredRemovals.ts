import type { Target, TargetRegistry } from "@pistachioreel/placement";
import type { FeedEntry } from "@pistachioreel/platform-store";

interface DeferredRemovalsOptions {
    readonly registry: TargetRegistry;
    /** Monotonic time in ms at which the store was last reached again; `undefined` while it is unreachable. */
    readonly storeRegainedAt: () => number | undefined;
    /** Time within which a target that has left must get no more requests, in ms. */
    readonly drainBoundMs: number;
    /** Called when a target that was held is removed. */
    readonly onRemoved: () => void;
    /** Monotonic time in ms. */
    readonly now: () => number;
}

/** Targets that live register again within this time after the store has returned, in ms. */
const RETURN_MS = 2_200;
/** Time that is left for requests on their way when a removal takes effect, in ms. */
const DRAIN_MARGIN_MS = 700;
/** So many targets that vanish together without a word have rather lost their entries than left. */
const SUSPICIOUS_REMOVALS = 3;
const GROUP_MS = 600;

/**
 * Applies changes of targets. Entries lapse while the store is away and come back soon after, so removals then, and
 * those of many targets at once, take effect only after a while.
 */
export class DeferredRemovals {
    private readonly held = new Map<string, NodeJS.Timeout>();
    private recent: number[] = [];

    constructor(private readonly opts: DeferredRemovalsOptions) {}

    apply(changed: readonly FeedEntry<Target>[]): void {
        const { registry } = this.opts;
        const removed = changed.filter(({ name, value }) => value === undefined && registry.get(name) !== undefined);
        const delayMs = this.delayOf(removed.filter(({ name }) => registry.get(name)?.isDraining === false).length);
        for (const { name, value } of changed) {
            if (value !== undefined) {
                this.release(name);
                registry.put(value);
            }
        }
        for (const { name } of removed) {
            if (delayMs === 0 || registry.get(name)?.isDraining === true) {
                registry.remove(name);
            }
            else {
                this.hold(name, delayMs);
            }
        }
    }

    private delayOf(unannounced: number): number {
        const now = this.opts.now();
        this.recent = [...this.recent.filter(at => now - at < GROUP_MS), ...new Array<number>(unannounced).fill(now)];
        const boundMs = Math.min(RETURN_MS, Math.max(0, this.opts.drainBoundMs - DRAIN_MARGIN_MS));
        const regainedAt = this.opts.storeRegainedAt();
        if (regainedAt === undefined || this.recent.length >= SUSPICIOUS_REMOVALS) {
            return boundMs;
        }
        return Math.min(boundMs, Math.max(0, regainedAt + RETURN_MS - now));
    }

    private hold(name: string, delayMs: number): void {
        this.release(name);
        const timer = setTimeout(() => {
            this.held.delete(name);
            this.opts.registry.remove(name);
            this.opts.onRemoved();
        }, delayMs);
        this.held.set(name, timer);
    }

    private release(name: string): void {
        clearTimeout(this.held.get(name));
        this.held.delete(name);
    }
}
