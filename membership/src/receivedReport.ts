import type { HostReport } from "./hostReport.js";

/** Newest report of a peer. */
export interface ReceivedReport extends HostReport {
    readonly id: string;
    readonly incarnation: string;
    readonly availabilityZone: string;
    /** Monotonic time in ms before which the report cannot have been made; `undefined` if unknown. */
    readonly probedAt: number | undefined;
    /** Monotonic time in ms at which the report arrived. */
    readonly receivedAt: number;
}
