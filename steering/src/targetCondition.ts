import type { SlotOutcome } from "./slotGrant.js";

const MIN_WEIGHT = 1 / 16;
const WEIGHT_GAIN_PER_SUCCESS = 0.05;
/** The weight also rises with time, because a target with a low weight gets few requests that could restore it. */
const WEIGHT_GAIN_PER_MS = 0.05 / 1_000;
/** Weight of the newest sample in the exponential moving average of the latency. */
const SMOOTHING_FACTOR = 0.2;
const MIN_SAMPLES = 5;
/** A target is slow if its mean latency exceeds the service's median by both this factor and this margin. */
const SLOW_FACTOR = 3;
const SLOW_MARGIN_MS = 10;
/** During the ramp, a request within this multiple of the median raises the limit by 1, a slower one by less. */
const WARM_LATENCY_FACTOR = 2;
const SLOW_RAMP_STEP = 0.1;
const FAILURES_UNTIL_BACKOFF = 3;
const MIN_BACKOFF_MS = 250;
const MAX_BACKOFF_MS = 5_000;

/** Health and latency of one target, as observed by this host. */
export class TargetCondition {
    private weightAtUpdate = 1;
    private weightUpdatedAt: number;
    private lastHalvedAt = -Infinity;
    private meanMs = 0;
    private samples = 0;
    private consecutiveFailures = 0;
    private backedOffUntil = -Infinity;
    /** Concurrency limit while the target warms up, with a fractional part; `undefined` otherwise. */
    private ramp: number | undefined;

    /** @param now Monotonic time in ms. */
    constructor(readonly service: string, private readonly now: () => number, private readonly random: () => number) {
        this.weightUpdatedAt = now();
    }

    /** Weight of the target in the choice, from 1/16 to 1. */
    get weight(): number {
        const gained = (this.now() - this.weightUpdatedAt) * WEIGHT_GAIN_PER_MS;
        return Math.min(1, this.weightAtUpdate + gained);
    }

    /** Mean latency in ms; `undefined` until there are enough samples. */
    get meanLatencyMs(): number | undefined {
        return this.samples >= MIN_SAMPLES ? this.meanMs : undefined;
    }

    /** Maximum number of this host's requests on the target while it warms up; infinite otherwise. */
    get concurrencyLimit(): number {
        return this.ramp === undefined ? Infinity : Math.floor(this.ramp);
    }

    get isBackedOff(): boolean {
        return this.now() < this.backedOffUntil;
    }

    /** Starts to raise the concurrency limit from 1, unless it is being raised already. */
    startRamp(): void {
        this.ramp ??= 1;
        // Latencies from before do not apply to a cold target.
        this.samples = 0;
    }

    /**
     * Records the outcome of an attempt.
     *
     * @param medianMs Median of the mean latencies of the service's targets; `undefined` if there is none.
     */
    record({ end, latencyMs }: SlotOutcome, slots: number, medianMs: number | undefined): void {
        switch (end) {
            case "complete":
                this.recordSuccess(latencyMs, slots, medianMs);
                break;
            case "unsent":
                this.halveWeight(latencyMs);
                this.backOff();
                break;
            case "broken":
            case "cut":
                this.halveWeight(latencyMs);
                if (this.consecutiveFailures + 1 >= FAILURES_UNTIL_BACKOFF) {
                    this.backOff();
                }
                else {
                    this.consecutiveFailures++;
                }
                break;
            case "refused":
                this.halveWeight(latencyMs);
                break;
            default:
                break;
        }
    }

    private recordSuccess(latencyMs: number, slots: number, medianMs: number | undefined): void {
        this.meanMs = this.samples === 0 ? latencyMs : this.meanMs + SMOOTHING_FACTOR * (latencyMs - this.meanMs);
        this.samples++;
        this.consecutiveFailures = 0;
        this.setWeight(this.weight + WEIGHT_GAIN_PER_SUCCESS);
        const isSlow = medianMs !== undefined && this.samples >= MIN_SAMPLES
            && this.meanMs > medianMs * SLOW_FACTOR && this.meanMs > medianMs + SLOW_MARGIN_MS;
        if (isSlow) {
            this.halveWeight(latencyMs);
        }
        if (this.ramp !== undefined) {
            this.ramp += medianMs === undefined || latencyMs <= medianMs * WARM_LATENCY_FACTOR ? 1 : SLOW_RAMP_STEP;
            this.ramp = this.ramp >= slots ? undefined : this.ramp;
        }
    }

    /** Halves the weight once per incident: requests that ran at the last halving were part of the same incident. */
    private halveWeight(latencyMs: number): void {
        const now = this.now();
        if (now - latencyMs >= this.lastHalvedAt) {
            this.lastHalvedAt = now;
            this.setWeight(this.weight / 2);
        }
    }

    private backOff(): void {
        const ceilingMs = Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2 ** this.consecutiveFailures++);
        this.backedOffUntil = this.now() + ceilingMs * (0.5 + this.random() / 2);
        this.ramp = 1;
    }

    private setWeight(weight: number): void {
        this.weightAtUpdate = Math.min(1, Math.max(MIN_WEIGHT, weight));
        this.weightUpdatedAt = this.now();
    }
}
