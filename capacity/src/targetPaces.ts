interface TargetPacesOptions {
    /** Monotonic time in ms. */
    readonly now: () => number;
}

interface PaceState {
    /** Stated work time as a factor of the usual. */
    stated: number;
    /** Monotonic time in ms. */
    statedAt: number;
    /** Moving average of measured ratios. */
    measured: number;
    /** Monotonic time in ms of the newest measured ratio. */
    measuredAt: number;
}

interface Pace {
    /** Factor of the usual work time. */
    readonly factor: number;
    /** Age of the newest data that the factor is based on, in ms; infinite if there is none. */
    readonly ageMs: number;
}

const PERCENT = 100;
const MAX_PERCENT = 10_000;
/** Up to this age, a stated value has full weight. */
const STATED_FRESH_MS = 300;
/** From this age on, a stated value has no weight. */
const STATED_MAX_AGE_MS = 1_500;
/**
 * From this age on, the measured ratio fades to 1, which it reaches at the maximum age. A target that gets no requests because
 * it was slow has no new samples, so without this it would never get requests again.
 */
const MEASURED_FRESH_MS = 3_000;
const MEASURED_MAX_AGE_MS = 10_000;
/** Smallest and largest weight of the newest sample in the moving average; it grows with the time since the last one. */
const MIN_SAMPLE_WEIGHT = 0.15;
const MAX_SAMPLE_WEIGHT = 0.5;
const SAMPLE_TIME_CONSTANT_MS = 1_000;
/** Limits the effect of one sample. */
const MAX_MEASURED_RATIO = 12;
const MIN_MEASURED_RATIO = 1 / MAX_MEASURED_RATIO;

/** Estimates the work time of each target, as a factor of the usual, from what it states and from measured times. */
export class TargetPaces {
    private readonly states = new Map<string, PaceState>();
    private invalid = 0;

    constructor(private readonly opts: TargetPacesOptions) {}

    /** Number of stated or measured values that were ignored because they were invalid. */
    get invalidCount(): number {
        return this.invalid;
    }

    /**
     * Records the work time that a target states.
     *
     * @param percent Percent of the usual work time.
     * @returns Whether the value is valid: above 0 and at most `MAX_PERCENT`.
     */
    recordStated(target: string, percent: number): boolean {
        if (!(percent > 0 && percent <= MAX_PERCENT)) {
            this.invalid++;
            return false;
        }
        const state = this.stateOf(target);
        state.stated = percent / PERCENT;
        state.statedAt = this.opts.now();
        return true;
    }

    /** @param ratio Actual time of a request divided by its expected time with spare capacity. */
    recordMeasured(target: string, ratio: number): void {
        if (!(ratio > 0 && ratio < Infinity)) {
            this.invalid++;
            return;
        }
        const state = this.stateOf(target);
        const now = this.opts.now();
        const timeWeight = 1 - Math.exp((state.measuredAt - now) / SAMPLE_TIME_CONSTANT_MS);
        const weight = Math.min(MAX_SAMPLE_WEIGHT, Math.max(MIN_SAMPLE_WEIGHT, timeWeight));
        const bounded = Math.min(MAX_MEASURED_RATIO, Math.max(MIN_MEASURED_RATIO, ratio));
        const previous = this.measuredOf(state, now);
        state.measured = previous + weight * (bounded - previous);
        state.measuredAt = now;
    }

    /** Factor of the usual work time, 1 if nothing is known, and the age of the data it is based on. */
    paceOf(target: string): Pace {
        const state = this.states.get(target);
        if (state === undefined) {
            return { factor: 1, ageMs: Infinity };
        }
        const now = this.opts.now();
        const statedAgeMs = now - state.statedAt;
        const statedWeight = fade(statedAgeMs, STATED_FRESH_MS, STATED_MAX_AGE_MS);
        const measured = this.measuredOf(state, now);
        const factor = measured + statedWeight * (state.stated - measured);
        const measuredAgeMs = now - state.measuredAt;
        const ageMs = statedWeight > 0
            ? Math.min(statedAgeMs, statedWeight < 1 ? measuredAgeMs : Infinity)
            : measuredAgeMs;
        return { factor, ageMs };
    }

    /** Paces of all targets of which something is known, by target. */
    currentPaces(): ReadonlyMap<string, Pace> {
        return new Map([...this.states.keys()].map(target => [target, this.paceOf(target)]));
    }

    /** Removes the state of all other targets. */
    retain(targets: ReadonlySet<string>): void {
        [...this.states.keys()].filter(key => !targets.has(key)).forEach(key => this.states.delete(key));
    }

    private measuredOf({ measured, measuredAt }: PaceState, now: number): number {
        return 1 + fade(now - measuredAt, MEASURED_FRESH_MS, MEASURED_MAX_AGE_MS) * (measured - 1);
    }

    private stateOf(target: string): PaceState {
        let state = this.states.get(target);
        if (state === undefined) {
            state = { stated: 1, statedAt: -Infinity, measured: 1, measuredAt: -Infinity };
            this.states.set(target, state);
        }
        return state;
    }
}

/** Weight of data of this age: 1 while it is fresh, then falling linearly to 0 at its maximum age. */
function fade(ageMs: number, freshMs: number, maxAgeMs: number): number {
    return Math.min(1, Math.max(0, (maxAgeMs - ageMs) / (maxAgeMs - freshMs)));
}
