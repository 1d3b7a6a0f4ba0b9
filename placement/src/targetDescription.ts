/** What a host knows of a target with regard to one request. */
export interface TargetDescription {
    readonly id: string;
    readonly availabilityZone: string;
    readonly region: string;
    /** Why the target gets no requests now; `undefined` if it may get this one. */
    readonly unusable:
        | "draining"
        | "evacuated"
        | "regionNotAllowed"
        | "backedOff"
        | "leaving"
        | "paused"
        | "cold"
        | undefined;
    /** Position among the preferred targets of the object, from 1; `undefined` if the request has no object. */
    readonly preference: number | undefined;
    readonly isWarm: boolean;
    /** Probability that the object is still warm. */
    readonly warmProbability: number;
    readonly slots: number;
    /** Requests that the target runs well at once. */
    readonly capacity: number;
    /** Estimated requests at the target, running and queued. */
    readonly load: number;
    /** Factor of the usual work time. */
    readonly pace: number;
    /** Age in ms of what the pace is based on; `null` if it is based on nothing. */
    readonly paceAgeMs: number | null;
    readonly errorRate: number;
    /** Time in ms until the limit that the target states leaves a request for this host. */
    readonly limitWaitMs: number;
    /** Expected time until the response, in ms. */
    readonly expectedMs: number;
}
