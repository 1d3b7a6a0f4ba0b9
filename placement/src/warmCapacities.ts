interface LearnedCapacity {
    objects: number;
    samples: number;
}

/** Initial and maximum number of objects. At the maximum, the capacity counts as unlimited. */
const MAX_OBJECTS = 60;
const MIN_OBJECTS = 1;
/** Share of the requests for objects that are kept warm that are as fast as expected; the others meet some other delay. */
const RELIABLE_SHARE = 0.9;
/** Weight of a sample; greater for the first ones, which decide quickly whether objects fit at all. */
const FIRST_WEIGHT = 0.15;
const LATER_WEIGHT = 0.03;
const FIRST_SAMPLES = 50;

/**
 * Learns how many objects the targets of each service keep warm. A target that handles more objects in turn than it keeps has lost
 * some of them when they are requested again, so the share of requests that were as slow as for a cold object shows its capacity.
 */
export class WarmCapacities {
    private readonly byService = new Map<string, LearnedCapacity>();

    /**
     * Records a request for an object that the target was taken to keep warm.
     *
     * @param objects Number of objects that the target has handled recently.
     * @param wasWarm Whether the request took no longer than one for a warm object.
     */
    record(service: string, objects: number, wasWarm: boolean): void {
        const learned = this.byService.get(service) ?? { objects: MAX_OBJECTS, samples: 0 };
        const weight = learned.samples < FIRST_SAMPLES ? FIRST_WEIGHT : LATER_WEIGHT;
        const expectedShare = RELIABLE_SHARE * Math.min(1, learned.objects / objects);
        const change = weight * objects * (Number(wasWarm) - expectedShare);
        this.byService.set(service, {
            objects: Math.min(MAX_OBJECTS, Math.max(MIN_OBJECTS, learned.objects + change)),
            samples: learned.samples + 1,
        });
    }

    /** Number of objects that a target of the service keeps warm; infinite unless it has lost some. */
    capacityOf(service: string): number {
        const { objects } = this.byService.get(service) ?? { objects: MAX_OBJECTS };
        return objects < MAX_OBJECTS ? objects : Infinity;
    }

    /** Probability that an object is warm on a target that has handled that many objects recently, this one among them. */
    warmProbability(service: string, objects: number): number {
        return Math.min(1, this.capacityOf(service) / Math.max(1, objects));
    }
}
