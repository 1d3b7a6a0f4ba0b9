import type { HeartbeatPart, PeerIdentity } from "@pistachioreel/peering";
import { z } from "zod";
import type { Plan } from "./plan.js";
import type { TargetCandidate } from "./targetCandidate.js";

interface ShiftScheduleOptions {
    /** Largest share that may move within one interval. */
    readonly cap: () => { readonly capShare: number; readonly intervalMs: number; };
    /** Monotonic time in ms. */
    readonly now: () => number;
    /** Wall clock in ms since 1970. */
    readonly wallNow: () => number;
}

interface Shift {
    /** Share of the usual traffic that the part gets, from 0 to 1. */
    share: number;
    updatedAt: number;
    /** Whether it follows a failure that only this host may see. */
    readonly isOwn: boolean;
}

/** How far a shift is. */
interface ShiftProgress {
    /** Scope and name, as `zone:perth-a`. */
    readonly part: string;
    readonly isDrained: boolean;
    /** Share of the usual traffic that the part gets now. */
    readonly share: number;
    /** Time in ms until the shift is complete under the cap. */
    readonly timeLeftMs: number;
}

/** A process that was paused must not catch up at once; an update covers at most this time in ms. */
const MAX_STEP_MS = 200;
const TICK_MS = 50;
/** A started host takes shifts over from the plan and from its peers for this time in ms. */
const TAKEOVER_MS = 5_000;

const sharesSchema = z.record(z.string(), z.number().min(0).max(1));

/**
 * Shares of traffic of the parts that are being drained or returned. The share of each part moves by at most `capShare`
 * in each interval on each host. So the moved part of the whole traffic is at most `capShare` too, however many shifts
 * overlap, because each request counts for the one target that it would usually go to.
 */
export class ShiftSchedule implements HeartbeatPart {
    private readonly shifts = new Map<string, Shift>();
    private drained = new Map<string, Plan["drains"][number]>();
    private readonly startedAt: number;
    private hasTakenOver = false;

    constructor(private readonly opts: ShiftScheduleOptions) {
        this.startedAt = opts.now();
    }

    /** Keeps shifts moving until the signal aborts. */
    async run(signal: AbortSignal): Promise<void> {
        const timer = setInterval(() => this.tick(), TICK_MS);
        await new Promise<void>(resolve => signal.addEventListener("abort", () => resolve(), { once: true }));
        clearInterval(timer);
    }

    /** Puts a plan in force. */
    applyPlan({ drains }: Plan): void {
        this.tick();
        const { capShare, intervalMs } = this.opts.cap();
        this.drained = new Map(drains.map(drain => [`${drain.scope}:${drain.name}`, drain]));
        for (const [part, { startedAt }] of this.drained) {
            if (this.isTakingOver() && !this.shifts.has(part)) {
                const moved = Math.max(0, this.opts.wallNow() - startedAt) / intervalMs * capShare;
                this.setShare(part, Math.max(0, 1 - moved));
            }
        }
    }

    /** A target that failed lost its traffic at once; the traffic returns under the cap. */
    recordFailure(targetId: string): void {
        this.setShare(`target:${targetId}`, 0, true);
    }

    /** Share of its usual traffic that a target gets: the smallest of those of the target, its zone and its region. */
    shareOf({ id, availabilityZone, region }: TargetCandidate): number {
        if (this.shifts.size === 0 && this.drained.size === 0) {
            return 1;
        }
        return Math.min(...[`target:${id}`, `zone:${availabilityZone}`, `region:${region}`].map(part => {
            return this.shifts.get(part)?.share ?? 1;
        }));
    }

    progress(): ShiftProgress[] {
        const { capShare, intervalMs } = this.opts.cap();
        return [...this.shifts].map(([part, { share }]) => {
            const isDrained = this.drained.has(part);
            return { part, isDrained, share, timeLeftMs: (isDrained ? share : 1 - share) / capShare * intervalMs };
        });
    }

    tick(): void {
        const now = this.opts.now();
        const wallNow = this.opts.wallNow();
        for (const [part, { startedAt }] of this.drained) {
            if (startedAt <= wallNow && !this.shifts.has(part)) {
                this.setShare(part, 1);
            }
        }
        const { capShare, intervalMs } = this.opts.cap();
        for (const [part, shift] of this.shifts) {
            const step = Math.min(MAX_STEP_MS, now - shift.updatedAt) / intervalMs * capShare;
            shift.updatedAt = now;
            const startedAt = this.drained.get(part)?.startedAt;
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
     * A started host goes on from where the first peer that it hears stands. The plan alone tells neither that a return
     * is under way nor that a drain is behind its schedule because the hosts were paused.
     */
    receive(_from: PeerIdentity, received: unknown): void {
        const shares = sharesSchema.safeParse(received);
        if (!shares.success || !this.isTakingOver()) {
            return;
        }
        this.hasTakenOver = true;
        for (const part of new Set([...Object.keys(shares.data), ...this.drained.keys()])) {
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
