import type { HeartbeatPart, PeerIdentity } from "@pistachioreel/peering";
import { z } from "zod";
import type { Plan } from "./plan.js";
import type { TargetCandidate } from "./targetCandidate.js";

interface ShiftScheduleOptions {
    /** Largest share of the traffic that may move within one interval. */
    readonly cap: () => { readonly capShare: number; readonly intervalMs: number; };
    /** Monotonic time in ms. */
    readonly now: () => number;
    /** Unix time in ms. */
    readonly wallNow: () => number;
}

interface Shift {
    /** Share of its normal traffic that the part of the fleet receives, from 0 to 1. */
    share: number;
    updatedAt: number;
    /** Whether the cause is a failure that only this host may have observed; such a shift is not sent to peers. */
    readonly isOwn: boolean;
}

/** Progress of a shift. */
interface ShiftProgress {
    /** Scope and name, such as `zone:perth-a`. */
    readonly part: string;
    readonly isDrained: boolean;
    /** Share of its normal traffic that the part receives now. */
    readonly share: number;
    /** Time in ms until the shift is complete under the cap. */
    readonly timeLeftMs: number;
}

/** Longest time that one update covers, so that a process does not catch up at once after a pause. */
const MAX_STEP_MS = 200;
const TICK_INTERVAL_MS = 50;
/** Time after the start in which a host adopts shifts in progress from the plan and from its peers. */
const TAKEOVER_MS = 5_000;

const sharesSchema = z.record(z.string(), z.number().min(0).max(1));

/**
 * Traffic shares of the parts of the fleet that are being drained or restored. On each host, the share of each part
 * moves by at most `capShare` per interval. So the share of all traffic that moves per interval is at most `capShare`
 * too, however many shifts overlap, because each request counts only for the one target that it would normally go to.
 */
export class ShiftSchedule implements HeartbeatPart {
    private readonly shifts = new Map<string, Shift>();
    /** Drains of the plan in force by part, including those that have not started yet. */
    private plannedDrains = new Map<string, Plan["drains"][number]>();
    private readonly startedAt: number;
    /** Whether this host has adopted the shares of a peer after its start. */
    private hasTakenOver = false;

    constructor(private readonly opts: ShiftScheduleOptions) {
        this.startedAt = opts.now();
    }

    /** Updates the shares periodically until the signal aborts. */
    async run(signal: AbortSignal): Promise<void> {
        const timer = setInterval(() => this.tick(), TICK_INTERVAL_MS);
        await new Promise<void>(resolve => signal.addEventListener("abort", () => resolve(), { once: true }));
        clearInterval(timer);
    }

    /** Puts a plan into force. */
    applyPlan({ drains }: Plan): void {
        this.tick();
        const { capShare, intervalMs } = this.opts.cap();
        this.plannedDrains = new Map(drains.map(drain => [`${drain.scope}:${drain.name}`, drain]));
        for (const [part, { startedAt }] of this.plannedDrains) {
            if (this.isTakingOver() && !this.shifts.has(part)) {
                const moved = Math.max(0, this.opts.wallNow() - startedAt) / intervalMs * capShare;
                this.setShare(part, Math.max(0, 1 - moved));
            }
        }
    }

    /** Records that a target failed and lost all traffic at once; the traffic returns under the cap. */
    recordFailure(targetId: string): void {
        this.setShare(`target:${targetId}`, 0, true);
    }

    /** Share of its normal traffic that a target receives: the minimum of the target's, its zone's and its region's. */
    shareOf({ id, availabilityZone, region }: TargetCandidate): number {
        if (this.shifts.size === 0 && this.plannedDrains.size === 0) {
            return 1;
        }
        return Math.min(...[`target:${id}`, `zone:${availabilityZone}`, `region:${region}`].map(part => {
            return this.shifts.get(part)?.share ?? 1;
        }));
    }

    /** Progress of all current shifts. */
    progress(): ShiftProgress[] {
        const { capShare, intervalMs } = this.opts.cap();
        return [...this.shifts].map(([part, { share }]) => {
            const isDrained = this.plannedDrains.has(part);
            return { part, isDrained, share, timeLeftMs: (isDrained ? share : 1 - share) / capShare * intervalMs };
        });
    }

    /** Moves every share by what the cap allows for the time since the last update. */
    tick(): void {
        const now = this.opts.now();
        const wallNow = this.opts.wallNow();
        for (const [part, { startedAt }] of this.plannedDrains) {
            if (startedAt <= wallNow && !this.shifts.has(part)) {
                this.setShare(part, 1);
            }
        }
        const { capShare, intervalMs } = this.opts.cap();
        for (const [part, shift] of this.shifts) {
            const step = Math.min(MAX_STEP_MS, now - shift.updatedAt) / intervalMs * capShare;
            shift.updatedAt = now;
            const startedAt = this.plannedDrains.get(part)?.startedAt;
            if (startedAt !== undefined && startedAt <= wallNow) {
                shift.share = Math.max(0, shift.share - step);
            }
            else {
                shift.share = Math.min(1, shift.share + step);
                if (shift.share === 1) {
                    this.shifts.delete(part);
                }
            }
        }
    }

    payload(): z.infer<typeof sharesSchema> {
        return Object.fromEntries(
            [...this.shifts].filter(([, { isOwn }]) => !isOwn).map(([part, { share }]) => [part, share]),
        );
    }

    /**
     * Adopts the shares of the first peer that sends them after the start. The plan alone shows neither that traffic is
     * being restored nor that a drain is behind schedule because the hosts were paused.
     */
    receive(_from: PeerIdentity, received: unknown): void {
        const shares = sharesSchema.safeParse(received);
        if (!shares.success || !this.isTakingOver()) {
            return;
        }
        this.hasTakenOver = true;
        for (const part of new Set([...Object.keys(shares.data), ...this.plannedDrains.keys()])) {
            this.setShare(part, shares.data[part] ?? 1);
        }
    }

    private isTakingOver(): boolean {
        return !this.hasTakenOver && this.opts.now() - this.startedAt < TAKEOVER_MS;
    }

    private setShare(part: string, share: number, isOwn = false): void {
        this.shifts.set(part, { share, isOwn, updatedAt: this.opts.now() });
    }
}
