import type { HostReport } from "./hostReport.js";

/** The newest report of a peer. */
export interface ReceivedReport extends HostReport {
    readonly id: string;
    readonly incarnation: string;
    readonly availabilityZone: string;
    /** Monotonic time in ms before which the report was not made; `undefined` if unknown. */
    readonly probedAt: number | undefined;
    /** Monotonic time in ms at which it arrived. */
    readonly receivedAt: number;
}
