/** Status line and headers of a response. */
export interface ResponseHead {
    readonly status: number;
    /** Minor version of HTTP/1. */
    readonly minorVersion: number;
    /** Alternating names and values. */
    readonly headers: readonly string[];
}
