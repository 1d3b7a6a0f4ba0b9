/** A linked host that reaches targets and passes requests on to them. */
export interface DetourHost {
    readonly hostId: string;
    /** `address:port` of its listener for other hosts. */
    readonly address: string;
    /** Proves to the host that a request comes from a host of the fleet. */
    readonly token: string;
    readonly availabilityZone: string;
    readonly region: string;
}
