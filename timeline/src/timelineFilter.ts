/** Conditions on an event, all of which must be met. Absent conditions are met by every event. */
export interface TimelineFilter {
    readonly host?: string;
    readonly workspace?: string;
    /** Id of the request. */
    readonly request?: string;
    /** Version of the configuration document. */
    readonly configVersion?: number;
    /** Earliest Unix time in ms, inclusive. */
    readonly from?: number;
    /** Latest Unix time in ms, inclusive. */
    readonly to?: number;
}
