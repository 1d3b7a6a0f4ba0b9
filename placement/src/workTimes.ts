/** Weight of the newest sample. */
const SMOOTHING = 0.1;
/** Before there are samples, a warm request is taken to need this part of the objective, a cold one the other. */
const ASSUMED_WARM_SHARE = 0.45;
const ASSUMED_COLD_SHARE = 1.4;

interface WorkKey {
    readonly service: string;
    readonly route: string;
    readonly isWarm: boolean;
    readonly objectiveMs: number;
}

/** Mean times that requests take at targets with a free slot, by service and route, for warm and cold objects. */
export class WorkTimes {
    private readonly means = new Map<string, number>();
    private readonly serviceMeans = new Map<string, number>();

    record(key: WorkKey, ms: number): void {
        const name = nameOf(key);
        this.means.set(name, smooth(this.means.get(name), ms));
        this.serviceMeans.set(key.service, smooth(this.serviceMeans.get(key.service), ms));
    }

    /** Expected time of one request, in ms. */
    expect(key: WorkKey): number {
        const share = key.isWarm ? ASSUMED_WARM_SHARE : ASSUMED_COLD_SHARE;
        return this.means.get(nameOf(key)) ?? key.objectiveMs * share;
    }

    /** Expected time of one request as measured, in ms; 0 if nothing has been measured. */
    measured(key: WorkKey): number {
        return this.means.get(nameOf(key)) ?? 0;
    }

    /** Mean time of all requests of the service, in ms. */
    meanOf(service: string, objectiveMs: number): number {
        return this.serviceMeans.get(service) ?? objectiveMs * ASSUMED_WARM_SHARE;
    }
}

function nameOf({ service, route, isWarm }: WorkKey): string {
    return `${service}\n${route}\n${isWarm}`;
}

function smooth(mean: number | undefined, sample: number): number {
    return mean === undefined ? sample : mean + SMOOTHING * (sample - mean);
}
