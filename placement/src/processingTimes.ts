/** Weight of the newest sample in the exponential moving averages. */
const SMOOTHING_FACTOR = 0.1;
/** Assumed processing times before there are samples, as shares of the latency objective. */
const ASSUMED_WARM_SHARE = 0.45;
const ASSUMED_COLD_SHARE = 1.4;
/** Share of the mean processing time that a fast request takes. */
const MINIMUM_TIME_SHARE = 0.6;

interface RequestClass {
    readonly service: string;
    /** Key of the route. */
    readonly route: string;
    readonly objectiveMs: number;
}

/** Estimate for warm or for cold objects. */
interface ProcessingTime {
    readonly expectedMs: number;
    /** Moving average of the samples; 0 if there are none. */
    readonly measuredMs: number;
    /** Lower estimate by the samples; 0 if there are none. */
    readonly minimumMs: number;
}

interface ProcessingTimeEstimate {
    readonly warm: ProcessingTime;
    readonly cold: ProcessingTime;
    /** Moving average over all requests of the service. */
    readonly meanMs: number;
}

/** Moving averages of processing times without queueing, by service and route, for warm and for cold objects. */
export class ProcessingTimes {
    private readonly warmMeans = new Map<string, number>();
    private readonly coldMeans = new Map<string, number>();
    private readonly serviceMeans = new Map<string, number>();

    /** Records the time of a request at a target that had a free slot. */
    record({ service, route }: RequestClass, isWarm: boolean, durationMs: number): void {
        const key = `${service}\n${route}`;
        const means = isWarm ? this.warmMeans : this.coldMeans;
        means.set(key, updateMean(means.get(key), durationMs));
        this.serviceMeans.set(service, updateMean(this.serviceMeans.get(service), durationMs));
    }

    /** Expected times of a request; shares of its latency objective where there are no samples. */
    estimate({ service, route, objectiveMs }: RequestClass): ProcessingTimeEstimate {
        const key = `${service}\n${route}`;
        const timeOf = (mean: number | undefined, assumedShare: number): ProcessingTime => ({
            expectedMs: mean ?? objectiveMs * assumedShare,
            measuredMs: mean ?? 0,
            minimumMs: (mean ?? 0) * MINIMUM_TIME_SHARE,
        });
        return {
            warm: timeOf(this.warmMeans.get(key), ASSUMED_WARM_SHARE),
            cold: timeOf(this.coldMeans.get(key), ASSUMED_COLD_SHARE),
            meanMs: this.serviceMeans.get(service) ?? objectiveMs * ASSUMED_WARM_SHARE,
        };
    }
}

function updateMean(mean: number | undefined, sample: number): number {
    return mean === undefined ? sample : mean + SMOOTHING_FACTOR * (sample - mean);
}
