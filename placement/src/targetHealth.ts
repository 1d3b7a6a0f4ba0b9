import type { Target } from "./target.js";
import { targetKey } from "./targetKey.js";

interface TargetHealthOptions {
    /** Monotonic time in ms. */
    readonly now: () => number;
}

interface Health {
    blockedUntil: number;
    failuresInRow: number;
    /** Until then the target gets no more than a cold one would. */
    unprovenUntil: number;
    errorShare: number;
    slowness: number;
}

const MIN_BLOCK_MS = 300;
const MAX_BLOCK_MS = 3_000;
/** A target that could not be reached may have restarted, and may be cold without having said so yet. */
const UNPROVEN_MS = 5_000;
const LOSSES_UNTIL_BLOCK = 2;
const SMOOTHING = 0.15;
const MAX_SLOWNESS = 12;

/** What this host has experienced with each target: failures, errors and slowness. */
export class TargetHealth {
    private readonly health = new Map<string, Health>();

    constructor(private readonly opts: TargetHealthOptions) {}

    isBlocked(target: Target): boolean {
        return (this.health.get(targetKey(target))?.blockedUntil ?? 0) > this.opts.now();
    }

    /** Whether the target may have restarted without this host knowing. */
    isPresumedCold(target: Target): boolean {
        return (this.health.get(targetKey(target))?.unprovenUntil ?? 0) > this.opts.now();
    }

    /** Share of answers that were errors, lately. */
    errorRate(target: Target): number {
        return this.health.get(targetKey(target))?.errorShare ?? 0;
    }

    /** How many times longer than expected the target takes. */
    latencyRatio(target: Target): number {
        return this.health.get(targetKey(target))?.slowness ?? 1;
    }

    recordUnreachable(target: Target): void {
        const health = this.of(target);
        health.unprovenUntil = this.opts.now() + UNPROVEN_MS;
        this.block(health);
    }

    recordLoss(target: Target): void {
        const health = this.of(target);
        health.failuresInRow++;
        health.errorShare += SMOOTHING * (1 - health.errorShare);
        if (health.failuresInRow >= LOSSES_UNTIL_BLOCK) {
            this.block(health);
        }
    }

    recordResponse(target: Target, isError: boolean): void {
        const health = this.of(target);
        health.failuresInRow = 0;
        health.errorShare += SMOOTHING * (Number(isError) - health.errorShare);
    }

    /** @param ratio Time that a request took, or had taken when it was ended, relative to what was expected. */
    recordLatencyRatio(target: Target, ratio: number): void {
        const health = this.of(target);
        health.slowness += SMOOTHING * (Math.min(MAX_SLOWNESS, ratio) - health.slowness);
    }

    /** Forgets targets that are gone. */
    retain(targets: readonly Target[]): void {
        const keys = new Set(targets.map(targetKey));
        [...this.health.keys()].filter(key => !keys.has(key)).forEach(key => this.health.delete(key));
    }

    private block(health: Health): void {
        const ms = Math.min(MAX_BLOCK_MS, MIN_BLOCK_MS * 2 ** health.failuresInRow++);
        health.blockedUntil = this.opts.now() + ms * (0.75 + Math.random() / 2);
    }

    private of(target: Target): Health {
        const key = targetKey(target);
        let health = this.health.get(key);
        if (health === undefined) {
            health = { blockedUntil: 0, failuresInRow: 0, unprovenUntil: 0, errorShare: 0, slowness: 1 };
            this.health.set(key, health);
        }
        return health;
    }
}
