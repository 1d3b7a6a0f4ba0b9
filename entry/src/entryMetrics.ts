import { collectProcessMetrics } from "@pistachioreel/runtime";
import { Counter, Gauge, Histogram, Registry } from "prom-client";

const LATENCY_BUCKETS_SECONDS = [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10];

/** Prometheus metrics of an entry host. */
export class EntryMetrics {
    readonly registry = new Registry();
    readonly requests = new Counter({
        name: "pistachioreel_requests_total",
        help: "Requests by workspace and result code; code 0 is a complete response",
        labelNames: ["workspace", "code"],
        registers: [this.registry],
    });
    readonly latency = new Histogram({
        name: "pistachioreel_request_seconds",
        help: "Time from the head of a request to the end of its response",
        labelNames: ["route"],
        buckets: LATENCY_BUCKETS_SECONDS,
        registers: [this.registry],
    });
    readonly delivery = new Counter({
        name: "pistachioreel_delivery_events_total",
        help: "Claims, retries, failed attempts and refusals on the way to targets, by event",
        labelNames: ["event"],
        registers: [this.registry],
    });
    readonly documentVersion = new Gauge({
        name: "pistachioreel_document_version",
        help: "Version of each document in force",
        labelNames: ["document"],
        registers: [this.registry],
    });
    readonly storeCalls = new Gauge({
        name: "pistachioreel_store_calls",
        help: "Calls to the store since the start",
        labelNames: ["kind"],
        registers: [this.registry],
    });
    readonly rateRefusals = new Counter({
        name: "pistachioreel_rate_refusals_total",
        help:
            "Requests refused by a workspace's limit; inside tells whether the known demand of all hosts was in the rate",
        labelNames: ["workspace", "inside"],
        registers: [this.registry],
    });

    constructor() {
        collectProcessMetrics(this.registry);
    }

    /** Registers gauges for the tokens lent and borrowed and the loan messages sent since the process started. */
    collectLoans(readCounters: () => { lent: number; borrowed: number; messages: number; }): void {
        const help = {
            lent: "Tokens given to other hosts",
            borrowed: "Tokens taken from other hosts",
            messages: "Loan messages sent",
        };
        for (const name of ["lent", "borrowed", "messages"] as const) {
            new Gauge({
                name: `pistachioreel_loan_${name === "messages" ? name : `tokens_${name}`}`,
                help: help[name],
                registers: [this.registry],
                collect() {
                    this.set(readCounters()[name]);
                },
            });
        }
    }
}
