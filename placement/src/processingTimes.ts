/** Weight of the newest sample. */
const SMOOTHING = 0.1;
/** Before there are samples, a warm request is taken to need this part of the objective, a cold one the other. */
const ASSUMED_WARM_SHARE = 0.45;
const ASSUMED_COLD_SHARE = 1.4;

interface WorkKey {
    readonly service: string;
    readonly route: string;
    readonly objectiveMs: number;
}

/** Times of one kind of work, in ms. */
interface WorkTime {
    readonly expectedMs: number;
    /** 0 if nothing has been measured. */
    readonly measuredMs: number;
}

interface WorkEstimate {
    readonly warm: WorkTime;
    readonly cold: WorkTime;
    /** Mean of all requests of the service, in ms. */
    readonly meanMs: number;
}

/** Mean times that requests take at targets with a free slot, by service and route, for warm and cold objects. */
export class ProcessingTimes {
    private readonly warm = new Map<string, number>();
    private readonly cold = new Map<string, number>();
    private readonly services = new Map<string, number>();

    record({ service, route }: WorkKey, isWarm: boolean, ms: number): void {
        const key = `${service}\n${route}`;
        const means = isWarm ? this.warm : this.cold;
        means.set(key, smooth(means.get(key), ms));
        this.services.set(service, smooth(this.services.get(service), ms));
    }

    estimate({ service, route, objectiveMs }: WorkKey): WorkEstimate {
        const key = `${service}\n${route}`;
        const timeOf = (mean: number | undefined, assumedShare: number): WorkTime => ({
            expectedMs: mean ?? objectiveMs * assumedShare,
            measuredMs: mean ?? 0,
        });
        return {
            warm: timeOf(this.warm.get(key), ASSUMED_WARM_SHARE),
            cold: timeOf(this.cold.get(key), ASSUMED_COLD_SHARE),
            meanMs: this.services.get(service) ?? objectiveMs * ASSUMED_WARM_SHARE,
        };
    }
}

function smooth(mean: number | undefined, sample: number): number {
    return mean === undefined ? sample : mean + SMOOTHING * (sample - mean);
}
