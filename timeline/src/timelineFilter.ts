/** Conditions on an event, all of which must be met. Absent conditions are met by every event. */
export interface TimelineFilter {
    readonly host?: string;
    readonly workspace?: string;
    /** Id of the request. */
    readonly request?: string;
    /** Version of the configuration document. */
    readonly configVersion?: number;
    /** Earliest wall clock in ms since 1970, inclusive. */
    readonly from?: number;
    /** Latest wall clock in ms since 1970, inclusive. */
    readonly to?: number;
}
