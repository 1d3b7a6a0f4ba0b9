/** A host that lends to this one or borrows from it. */
export interface LoanPeer {
    readonly hostId: string;
    readonly incarnation: string;
    readonly availabilityZone: string;
}
