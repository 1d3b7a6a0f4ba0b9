/** Why a request was rejected. It has not been started and never will be. */
export interface ScheduleRefusal {
    /**
     * `full`: the queue has no space for a request of this rank. `infeasible`: it can't complete before its deadline. `cancelled`: its
     * caller has disconnected, or the host is shutting down.
     */
    readonly reason: "full" | "infeasible" | "cancelled";
    /** Time in ms after which a retry may find capacity. */
    readonly retryAfterMs: number;
}
