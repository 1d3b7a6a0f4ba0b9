/** A host that may lend. */
export interface LoanPeer {
    readonly hostId: string;
    readonly incarnation: string;
    readonly availabilityZone: string;
}
