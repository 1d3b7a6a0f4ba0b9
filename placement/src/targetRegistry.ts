import type { Target } from "./target.js";

interface TargetRegistryOptions {
    /** Monotonic time in ms. */
    readonly now: () => number;
}

interface KnownTarget {
    target: Target;
    /** Monotonic time in ms until which the target is cold. */
    coldUntil: number;
}

/** Registered targets and evacuated availability zones. */
export class TargetRegistry {
    /** Incremented whenever the set of usable targets may have changed. */
    revision = 0;
    private readonly known = new Map<string, KnownTarget>();
    private evacuatedZones: ReadonlySet<string> = new Set();
    private byService = new Map<string, readonly Target[]>();
    private byServiceRevision = -1;

    constructor(private readonly opts: TargetRegistryOptions) {}

    get size(): number {
        return this.known.size;
    }

    get(id: string): Target | undefined {
        return this.known.get(id)?.target;
    }

    /** Adds or updates a target. */
    put(target: Target): void {
        const known = this.known.get(target.id);
        if (known !== undefined && isEqual(known.target, target)) {
            return;
        }
        const reportedColdUntil = this.opts.now() + target.coldMs;
        const isSameIncarnation = known?.target.incarnation === target.incarnation;
        // A report of the same incarnation can be outdated only by its transit time, so the later end is kept.
        const nextColdUntil = isSameIncarnation && target.coldMs > 0
            ? Math.max(known?.coldUntil ?? 0, reportedColdUntil)
            : reportedColdUntil;
        this.known.set(target.id, { target, coldUntil: nextColdUntil });
        this.revision++;
    }

    remove(id: string): void {
        if (this.known.delete(id)) {
            this.revision++;
        }
    }

    /** All known targets, including draining ones. */
    get all(): readonly Target[] {
        return [...this.known.values()].map(({ target }) => target);
    }

    /** Replaces the set of availability zones whose targets get no requests. */
    setEvacuatedZones(zones: ReadonlySet<string>): void {
        this.evacuatedZones = zones;
        this.revision++;
    }

    /** Whether the target is still in its cold time, in which it can handle few requests. */
    isCold(target: Target): boolean {
        return (this.known.get(target.id)?.coldUntil ?? 0) > this.opts.now();
    }

    /** Records the remaining cold time that the target reported in a response. */
    recordCold(target: Target, coldMs: number): void {
        const known = this.known.get(target.id);
        if (known !== undefined) {
            known.coldUntil = Math.max(known.coldUntil, this.opts.now() + coldMs);
        }
    }

    /** Whether this incarnation of the target may get requests: it is registered, and neither draining nor in an evacuated zone. */
    isUsable({ id, incarnation }: Target): boolean {
        const target = this.get(id);
        return target?.incarnation === incarnation && !this.isWithdrawn(target);
    }

    /** Targets of a service that are neither draining nor in an evacuated availability zone, ordered by id. */
    usableTargets(service: string): readonly Target[] {
        if (this.byServiceRevision !== this.revision) {
            this.byService = this.groupUsable();
            this.byServiceRevision = this.revision;
        }
        return this.byService.get(service) ?? [];
    }

    private isWithdrawn({ isDraining, availabilityZone }: Target): boolean {
        return isDraining || this.evacuatedZones.has(availabilityZone);
    }

    private groupUsable(): Map<string, readonly Target[]> {
        const groups = new Map<string, Target[]>();
        for (const { target } of this.known.values()) {
            if (this.isWithdrawn(target)) {
                continue;
            }
            const group = groups.get(target.service) ?? [];
            group.push(target);
            groups.set(target.service, group);
        }
        // All hosts use the same order, regardless of the order in which they learned of the targets.
        groups.forEach(group => group.sort((a, b) => a.id < b.id ? -1 : 1));
        return groups;
    }
}

function isEqual(a: Target, b: Target): boolean {
    return (Object.keys(a) as (keyof Target)[]).every(field => a[field] === b[field]);
}
