/** A host that may lend. */
export interface LoanPartner {
    readonly hostId: string;
    readonly incarnation: string;
    readonly availabilityZone: string;
}
