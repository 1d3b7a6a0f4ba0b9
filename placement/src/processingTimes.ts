/** Weight of the newest sample. */
const SMOOTHING_WEIGHT = 0.1;
/** Before there are samples, a warm request is taken to need this part of the objective, a cold one the other. */
const ASSUMED_WARM_SHARE = 0.45;
const ASSUMED_COLD_SHARE = 1.4;

interface RequestClass {
    readonly service: string;
    readonly route: string;
    readonly objectiveMs: number;
}

/** Times of one kind of work, in ms. */
interface ProcessingTime {
    readonly expectedMs: number;
    /** 0 if nothing has been measured. */
    readonly measuredMs: number;
}

interface ProcessingTimeEstimate {
    readonly warm: ProcessingTime;
    readonly cold: ProcessingTime;
    /** Mean of all requests of the service, in ms. */
    readonly meanMs: number;
}

/** Mean times that requests take at targets with a free slot, by service and route, for warm and cold objects. */
export class ProcessingTimes {
    private readonly warmMeans = new Map<string, number>();
    private readonly coldMeans = new Map<string, number>();
    private readonly serviceMeans = new Map<string, number>();

    record({ service, route }: RequestClass, isWarm: boolean, ms: number): void {
        const key = `${service}\n${route}`;
        const means = isWarm ? this.warmMeans : this.coldMeans;
        means.set(key, updateMean(means.get(key), ms));
        this.serviceMeans.set(service, updateMean(this.serviceMeans.get(service), ms));
    }

    estimate({ service, route, objectiveMs }: RequestClass): ProcessingTimeEstimate {
        const key = `${service}\n${route}`;
        const timeOf = (mean: number | undefined, assumedShare: number): ProcessingTime => ({
            expectedMs: mean ?? objectiveMs * assumedShare,
            measuredMs: mean ?? 0,
        });
        return {
            warm: timeOf(this.warmMeans.get(key), ASSUMED_WARM_SHARE),
            cold: timeOf(this.coldMeans.get(key), ASSUMED_COLD_SHARE),
            meanMs: this.serviceMeans.get(service) ?? objectiveMs * ASSUMED_WARM_SHARE,
        };
    }
}

function updateMean(mean: number | undefined, sample: number): number {
    return mean === undefined ? sample : mean + SMOOTHING_WEIGHT * (sample - mean);
}
