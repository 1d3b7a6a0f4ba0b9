import { collectProcessMetrics } from "@pistachioreel/runtime";
import { Counter, Gauge, Histogram, Registry } from "prom-client";

const LATENCY_BUCKETS_SECONDS = [0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.4, 0.6, 1, 1.5, 2.5, 5, 10];

/** Prometheus metrics of a gateway host, with the default metrics of the Node.js process. */
export class GatewayMetrics {
    readonly registry = new Registry();
    readonly requests = new Counter({
        name: "pistachioreel_gateway_requests_total",
        help: "Requests by route and result code; code 0 is a target's answer",
        labelNames: ["route", "code"],
        registers: [this.registry],
    });
    readonly latency = new Histogram({
        name: "pistachioreel_gateway_request_seconds",
        help: "Time from the head of a request to the end of its answer",
        labelNames: ["route"],
        buckets: LATENCY_BUCKETS_SECONDS,
        registers: [this.registry],
    });
    readonly connections = new Counter({
        name: "pistachioreel_gateway_target_connections_total",
        help: "Connections opened to targets",
        registers: [this.registry],
    });
    readonly detours = new Counter({
        name: "pistachioreel_gateway_detours_total",
        help: "Requests that were passed on to another host because this one reached no target, by outcome",
        labelNames: ["outcome"],
        registers: [this.registry],
    });
    readonly statements = new Counter({
        name: "pistachioreel_gateway_target_statements_total",
        help: "Changes of what targets state of themselves in responses, and invalid statements",
        labelNames: ["statement"],
        registers: [this.registry],
    });

    constructor() {
        collectProcessMetrics(this.registry);
    }

    /** Registers a gauge with a value for each combination of labels, which are read at each scrape. */
    addLabelledGauge<Label extends string>(
        name: string,
        help: string,
        labelNames: readonly Label[],
        read: () => readonly (readonly [labels: Record<Label, string>, value: number])[],
    ): void {
        new Gauge({
            name: `pistachioreel_gateway_${name}`,
            help,
            labelNames: [...labelNames],
            registers: [this.registry],
            collect() {
                this.reset();
                read().forEach(([labels, value]) => this.set(labels, value));
            },
        });
    }

    /** Registers a gauge whose value is read at each scrape. Its name gets the prefix of the other metrics. */
    addGauge(name: string, help: string, read: () => number): void {
        new Gauge({
            name: `pistachioreel_gateway_${name}`,
            help,
            registers: [this.registry],
            collect() {
                this.set(read());
            },
        });
    }
}
