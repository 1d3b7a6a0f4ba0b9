/** What the choice of a target needs to know about it. */
export interface TargetCandidate {
    readonly id: string;
    readonly service: string;
    readonly availabilityZone: string;
    readonly region: string;
    readonly slots: number;
}
