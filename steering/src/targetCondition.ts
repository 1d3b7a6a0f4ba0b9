import type { SlotOutcome } from "./slotGrant.js";

const MIN_WEIGHT = 1 / 16;
const WEIGHT_GAIN_PER_SUCCESS = 0.05;
/** A target whose weight is low gets little work, so its weight also rises by time. */
const WEIGHT_GAIN_PER_MS = 0.05 / 1_000;
const SMOOTHING = 0.2;
const MIN_SAMPLES = 5;
/** A mean above this multiple of the service's median, and above it by this many ms, is slow. */
const SLOW_FACTOR = 3;
const SLOW_MARGIN_MS = 10;
const WARM_FACTOR = 2;
const COLD_RAMP_STEP = 0.1;
const BREAKS_UNTIL_BACKOFF = 3;
const MIN_BACKOFF_MS = 250;
const MAX_BACKOFF_MS = 5_000;

/** What this host has observed of one target. */
export class TargetCondition {
    private storedWeight = 1;
    private weightAt: number;
    private halvedAt = -Infinity;
    private mean = 0;
    private samples = 0;
    private failuresInRow = 0;
    private backedOffUntil = -Infinity;
    private ramp: number | undefined;

    /** @param now Monotonic time in ms. */
    constructor(readonly service: string, private readonly now: () => number, private readonly random: () => number) {
        this.weightAt = now();
    }

    /** Share of the normal preference, from 1/16 to 1. */
    get weight(): number {
        const gained = (this.now() - this.weightAt) * WEIGHT_GAIN_PER_MS;
        return Math.min(1, this.storedWeight + gained);
    }

    /** Mean latency in ms; `undefined` until there are enough samples. */
    get meanLatencyMs(): number | undefined {
        return this.samples >= MIN_SAMPLES ? this.mean : undefined;
    }

    /** Requests of this host that the target may run while it warms up. */
    get limit(): number {
        return this.ramp === undefined ? Infinity : Math.floor(this.ramp);
    }

    get isBackedOff(): boolean {
        return this.now() < this.backedOffUntil;
    }

    startRamp(): void {
        this.ramp ??= 1;
        // Latencies of the time before say nothing about a cold target.
        this.samples = 0;
    }

    /** @param medianMs Median of the mean latencies of the service's targets. */
    record({ end, latencyMs }: SlotOutcome, slots: number, medianMs: number | undefined): void {
        switch (end) {
            case "complete":
                this.recordSuccess(latencyMs, slots, medianMs);
                break;
            case "unsent":
                this.halve(latencyMs);
                this.backOff();
                break;
            case "broken":
            case "cut":
                this.halve(latencyMs);
                if (this.failuresInRow + 1 >= BREAKS_UNTIL_BACKOFF) {
                    this.backOff();
                }
                else {
                    this.failuresInRow++;
                }
                break;
            case "refused":
                this.halve(latencyMs);
                break;
            default:
                break;
        }
    }

    private recordSuccess(latencyMs: number, slots: number, medianMs: number | undefined): void {
        this.mean = this.samples === 0 ? latencyMs : this.mean + SMOOTHING * (latencyMs - this.mean);
        this.samples++;
        this.failuresInRow = 0;
        this.setWeight(this.weight + WEIGHT_GAIN_PER_SUCCESS);
        const isSlow = medianMs !== undefined && this.samples >= MIN_SAMPLES
            && this.mean > medianMs * SLOW_FACTOR && this.mean > medianMs + SLOW_MARGIN_MS;
        if (isSlow) {
            this.halve(latencyMs);
        }
        if (this.ramp !== undefined) {
            this.ramp += medianMs === undefined || latencyMs <= medianMs * WARM_FACTOR ? 1 : COLD_RAMP_STEP;
            this.ramp = this.ramp >= slots ? undefined : this.ramp;
        }
    }

    /** Requests that were running together see the same incident; it halves the weight once. */
    private halve(latencyMs: number): void {
        const now = this.now();
        if (now - latencyMs >= this.halvedAt) {
            this.halvedAt = now;
            this.setWeight(this.weight / 2);
        }
    }

    private backOff(): void {
        const ceilingMs = Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2 ** this.failuresInRow++);
        this.backedOffUntil = this.now() + ceilingMs * (0.5 + this.random() / 2);
        this.ramp = 1;
    }

    private setWeight(weight: number): void {
        this.storedWeight = Math.min(1, Math.max(MIN_WEIGHT, weight));
        this.weightAt = this.now();
    }
}
