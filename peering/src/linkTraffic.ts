/** Counters of bytes and frames on all links of a host since its start. */
export interface LinkTraffic {
    sentFrames: number;
    sentBytes: number;
    receivedBytes: number;
    /** Frames that were not sent because a queue was full or a link closed. */
    dropped: number;
}
