import { collectDefaultMetrics, type Registry } from "prom-client";

/** The delay of the event loop is sampled at this interval; the default of 10 ms wakes an idle process 100 times a second. */
const EVENT_LOOP_MONITORING_INTERVAL_MS = 500;

/** Adds the metrics of the Node.js process to the registry. */
export function collectProcessMetrics(registry: Registry): void {
    collectDefaultMetrics({
        register: registry,
        eventLoopMonitoringPrecision: EVENT_LOOP_MONITORING_INTERVAL_MS,
    });
}
