/** Load that a target reports with a response: requests running and queued, its slots and its work time. */
export interface ReportedLoad {
    readonly running: number;
    readonly waiting: number;
    readonly slots: number;
    /** Present work time on the machine of the target, in percent of the usual; above 0. */
    readonly workPercent?: number;
}
