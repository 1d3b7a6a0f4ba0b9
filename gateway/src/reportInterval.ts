const MIN_REPORT_INTERVAL_MS = 150;
/** The interval grows with the number of links, which bounds the cost of reports for the sender. */
const REPORT_INTERVAL_PER_LINK_MS = 10;
/** The interval also grows with the fleet, as the relays of a large zone receive the reports of many hosts. */
const REPORT_INTERVAL_PER_HOST_MS = 0.5;
/**
 * Reports pass through two relays. While they do, hosts do not know of each other's requests and may admit too many of a
 * workspace whose demand has risen.
 */
const MAX_REPORT_INTERVAL_MS = 450;

/** Time between two reports of a host, in ms. */
export function reportInterval({ links, hosts }: { links: number; hosts: number; }): number {
    const intervalMs = MIN_REPORT_INTERVAL_MS + REPORT_INTERVAL_PER_LINK_MS * links +
        REPORT_INTERVAL_PER_HOST_MS * hosts;
    return Math.min(MAX_REPORT_INTERVAL_MS, intervalMs);
}
