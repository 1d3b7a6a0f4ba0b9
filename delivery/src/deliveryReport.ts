import type { DeliveredResponse } from "./deliveredResponse.js";

/** Result of a request whose response is complete. */
export interface DeliveryReport {
    /** Id of the target that responded; absent if the recorded response of an earlier request was returned. */
    readonly target: string | undefined;
    readonly attempts: number;
    readonly response: DeliveredResponse;
}
