/** Conditions that an event must meet; absent ones are met by all. */
export interface TimelineFilter {
    readonly host?: string;
    readonly workspace?: string;
    readonly request?: string;
    /** Version of the configuration document. */
    readonly configVersion?: number;
    /** Wall clock in ms since 1970, inclusive. */
    readonly from?: number;
    readonly to?: number;
}
