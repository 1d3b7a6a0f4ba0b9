/** A host of the fleet, as far as the choice of relays needs it. */
export interface ListedHost {
    readonly hostId: string;
    readonly availabilityZone: string;
    /** Processor time that the host may use, in cores. Hosts with more of it are preferred as relays. */
    readonly cores: number;
}
