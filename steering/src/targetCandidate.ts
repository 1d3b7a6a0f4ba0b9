/** Properties of a target that the choice depends on. */
export interface TargetCandidate {
    readonly id: string;
    readonly service: string;
    readonly availabilityZone: string;
    readonly region: string;
    readonly slots: number;
}
