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

/** The targets that have registered themselves, and the availability zones that are evacuated. */
export class TargetRegistry {
    /** Changes whenever the set of usable targets may have changed. */
    revision = 0;
    private readonly known = new Map<string, KnownTarget>();
    private evacuated: ReadonlySet<string> = new Set();
    private byService = new Map<string, readonly Target[]>();
    private byServiceRevision = -1;

    constructor(private readonly opts: TargetRegistryOptions) {}

    get size(): number {
        return this.known.size;
    }

    get(id: string): Target | undefined {
        return this.known.get(id)?.target;
    }

    /** Takes a new or changed target. */
    put(target: Target): void {
        const known = this.known.get(target.id);
        if (known !== undefined && isSame(known.target, target)) {
            return;
        }
        const coldUntil = this.opts.now() + target.coldMs;
        const isSameRun = known?.target.incarnation === target.incarnation;
        // A report of the same run can be older than the one before it only by its time on the way.
        const until = isSameRun && target.coldMs > 0 ? Math.max(known?.coldUntil ?? 0, coldUntil) : coldUntil;
        this.known.set(target.id, { target, coldUntil: until });
        this.revision++;
    }

    remove(id: string): void {
        if (this.known.delete(id)) {
            this.revision++;
        }
    }

    /** All targets that are known, draining ones too. */
    get all(): readonly Target[] {
        return [...this.known.values()].map(({ target }) => target);
    }

    /** Availability zones whose targets get nothing more. */
    setEvacuatedZones(zones: ReadonlySet<string>): void {
        this.evacuated = zones;
        this.revision++;
    }

    isCold(target: Target): boolean {
        return (this.known.get(target.id)?.coldUntil ?? 0) > this.opts.now();
    }

    /** Takes note that the target is cold for some time, as it says in its answers. */
    recordCold(target: Target, coldMs: number): void {
        const known = this.known.get(target.id);
        if (known !== undefined) {
            known.coldUntil = Math.max(known.coldUntil, this.opts.now() + coldMs);
        }
    }

    /** Targets of a service that may be sent requests. */
    usableTargets(service: string): readonly Target[] {
        if (this.byServiceRevision !== this.revision) {
            this.byService = this.groupUsable();
            this.byServiceRevision = this.revision;
        }
        return this.byService.get(service) ?? [];
    }

    private groupUsable(): Map<string, readonly Target[]> {
        const groups = new Map<string, Target[]>();
        for (const { target } of this.known.values()) {
            if (target.isDraining || this.evacuated.has(target.availabilityZone)) {
                continue;
            }
            const group = groups.get(target.service) ?? [];
            group.push(target);
            groups.set(target.service, group);
        }
        // All hosts use the same order, whatever the order in which they heard of the targets.
        groups.forEach(group => group.sort((a, b) => a.id < b.id ? -1 : 1));
        return groups;
    }
}

function isSame(a: Target, b: Target): boolean {
    return (Object.keys(a) as (keyof Target)[]).every(field => a[field] === b[field]);
}
