/** Load that a target reports with a response: requests running and queued, and its slots. */
export interface ReportedLoad {
    readonly running: number;
    readonly waiting: number;
    readonly slots: number;
}
