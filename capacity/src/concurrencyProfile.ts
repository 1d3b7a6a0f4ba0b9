/** Levels into which the slots of a target are divided; with fewer slots, each is a level of its own. */
const MAX_LEVELS = 16;
/** Samples lose weight with this time constant, or with that many new samples if these take longer. */
const WINDOW_MS = 2_000;
const MIN_WINDOW_SAMPLES = 24;
/**
 * Levels above the limit get no samples, so they also forget with this time constant. With a shorter one, hosts with few samples
 * would try higher levels more often than they can learn from it, and together keep a target above its capacity.
 */
const UNUSED_WINDOW_MS = 10_000;
/**
 * Standard deviation of the difference between the times of neighbouring levels that is expected before there are samples.
 * The more the samples scatter in comparison, the more of them it takes to deviate from the level below.
 */
const PRIOR_DEVIATION = 0.15;
const MIN_PRIOR_SAMPLES = 4;
const MAX_PRIOR_SAMPLES = 24;
const INITIAL_VARIANCE = 0.1;
/** Weight of the newest sample in the moving averages of scatter and baseline. */
const VARIANCE_WEIGHT = 1 / 32;
const BASELINE_WEIGHT = 1 / 16;
/** Largest deviation of a sample from its level's estimate that counts, so that one slow request has little effect. */
const MAX_DEVIATION = Math.log(3);
/**
 * Old samples lose most of their weight when the moving average of deviations, in standard deviations, exceeds this: the target
 * has changed, and the window alone would take longer than the time allowed to follow.
 */
const CHANGE_DEVIATIONS = 1.2;
const CHANGE_WEIGHT = 1 / 4;
const MAX_STANDARD_DEVIATIONS = 2;
const MIN_STANDARD_DEVIATION = 0.1;
const CHANGE_RETAINED_SHARE = 0.15;
/** A lower level is preferred only if the logarithm of its power is greater by at least this. */
const MIN_POWER_GAIN = 0.25;

/**
 * Times of the requests of one target by its concurrency when they started, as logarithms of their ratio to the time with
 * spare capacity. The best concurrency is the one with the greatest power, which is throughput divided by time.
 */
export class ConcurrencyProfile {
    private readonly levels: number;
    private readonly weights: Float64Array;
    private readonly sums: Float64Array;
    /** Estimated logarithm of the time at each level. */
    private readonly estimates: Float64Array;
    /** Estimated logarithm of the time of this target with spare capacity; not 0 at a target that is faster or slower than others. */
    private baseline = 0;
    private baselineSamples = 0;
    private variance = INITIAL_VARIANCE;
    private previousDeviation = 0;
    /** Moving average of the deviations, in standard deviations. */
    private trend = 0;
    private recordedAt: number;
    private forgottenAt: number;

    constructor(readonly slots: number, now: number) {
        this.levels = Math.min(slots, MAX_LEVELS);
        this.weights = new Float64Array(this.levels);
        this.sums = new Float64Array(this.levels);
        this.estimates = new Float64Array(this.levels);
        this.recordedAt = now;
        this.forgottenAt = now;
    }

    /**
     * Records a request.
     *
     * @param concurrency From 1 to the slots.
     * @param logRatio Natural logarithm of actual to unloaded time.
     * @param limit Present limit of the target.
     */
    record(concurrency: number, logRatio: number, limit: number, now: number): void {
        const elapsedMs = now - this.recordedAt;
        this.recordedAt = now;
        const age = Math.min(elapsedMs / WINDOW_MS, 1 / MIN_WINDOW_SAMPLES);
        this.scaleWeights(0, this.levels, Math.exp(-age));
        const index = this.levelOf(concurrency) - 1;
        const estimate = this.estimates[index]!;
        const deviation = Math.max(-MAX_DEVIATION, Math.min(MAX_DEVIATION, logRatio - estimate));
        this.detectChange(deviation, this.weights[index]!);
        this.weights[index]! += 1;
        this.sums[index]! += estimate + deviation;
        // Differences of successive deviations, so that a change of the target does not count as scatter.
        const difference = deviation - this.previousDeviation;
        this.variance += VARIANCE_WEIGHT * (difference * difference / 2 - this.variance);
        this.previousDeviation = deviation;
        if (concurrency <= Math.max(1, limit / 2)) {
            this.baselineSamples++;
            const weight = Math.max(BASELINE_WEIGHT, 1 / this.baselineSamples);
            this.baseline += weight * (estimate + deviation - this.baseline);
        }
    }

    /** Whether a request took longer than expected at this concurrency. */
    isSlow(concurrency: number, logRatio: number): boolean {
        return logRatio > this.estimates[this.levelOf(concurrency) - 1]!;
    }

    /** Reduces the weight of old samples at the levels above the limit. */
    forgetUnused(now: number, limit: number): void {
        const factor = Math.exp((this.forgottenAt - now) / UNUSED_WINDOW_MS);
        this.forgottenAt = now;
        const usedLevels = this.levelOf(Math.max(1, Math.floor(limit)));
        this.scaleWeights(usedLevels, this.levels, factor);
    }

    /** The highest concurrency than which no lower one is clearly better. */
    bestConcurrency(): number {
        this.estimateTimes();
        let best = 1;
        let greatestPower = -Infinity;
        for (let level = 1; level <= this.levels; level++) {
            const power = Math.log(level) - 2 * this.estimates[level - 1]!;
            greatestPower = Math.max(greatestPower, power);
            if (power >= greatestPower - MIN_POWER_GAIN) {
                best = level;
            }
        }
        return Math.floor(best * this.slots / this.levels);
    }

    /** A deviation counts as far as its level was known, as otherwise the estimate may have been wrong. */
    private detectChange(deviation: number, knownSamples: number): void {
        const standardDeviations = deviation / Math.max(MIN_STANDARD_DEVIATION, Math.sqrt(this.variance));
        const bounded = Math.max(-MAX_STANDARD_DEVIATIONS, Math.min(MAX_STANDARD_DEVIATIONS, standardDeviations));
        const isKnown = knownSamples / (knownSamples + MIN_PRIOR_SAMPLES);
        this.trend += CHANGE_WEIGHT * (bounded * isKnown - this.trend);
        if (Math.abs(this.trend) > CHANGE_DEVIATIONS) {
            this.trend = 0;
            this.scaleWeights(0, this.levels, CHANGE_RETAINED_SHARE);
        }
    }

    private scaleWeights(from: number, until: number, factor: number): void {
        for (let i = from; i < until; i++) {
            this.weights[i]! *= factor;
            this.sums[i]! *= factor;
        }
    }

    /**
     * Estimates the time at each level from its samples and, as far as there are few, from its neighbours: a level takes as long
     * as the one below, but not less than by Little's law at the throughput of the one above.
     */
    private estimateTimes(): void {
        const { levels, weights, sums, estimates } = this;
        const priorSamples = Math.max(
            MIN_PRIOR_SAMPLES,
            Math.min(MAX_PRIOR_SAMPLES, this.variance / PRIOR_DEVIATION ** 2),
        );
        let below = this.baseline;
        for (let i = 0; i < levels; i++) {
            below = (sums[i]! + priorSamples * below) / (weights[i]! + priorSamples);
            estimates[i] = below;
        }
        for (let i = levels - 2; i >= 0; i--) {
            const atSameThroughput = estimates[i + 1]! - Math.log((i + 2) / (i + 1));
            const missing = priorSamples / (weights[i]! + priorSamples);
            estimates[i]! += missing * Math.max(0, atSameThroughput - estimates[i]!);
        }
    }

    private levelOf(concurrency: number): number {
        return Math.ceil(concurrency * this.levels / this.slots);
    }
}
