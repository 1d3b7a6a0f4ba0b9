import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { Dialect } from "./dialect.js";
import type { GatewayMetrics } from "./gatewayMetrics.js";

interface ServiceListenerOptions {
    readonly dialect: Dialect;
    readonly metrics: GatewayMetrics;
    readonly isReady: () => boolean;
    readonly hostsFor: (region: string | undefined, availabilityZone: string | undefined) => readonly string[];
    readonly lookupLifetimeMs: number;
}

type Handler = (request: IncomingMessage, response: ServerResponse) => void | Promise<void>;

/** Servers for readiness checks, look-ups and metrics, in this order. */
export function createServiceListener(opts: ServiceListenerOptions): { readonly servers: readonly Server[]; } {
    const { dialect, metrics, isReady, hostsFor, lookupLifetimeMs } = opts;
    const checkReadiness: Handler = (request, response) => {
        const status = !dialect.isReadinessCheck(request) ? 404 : isReady() ? 200 : 503;
        send(response, status, "text/plain", "");
    };
    const lookUp: Handler = (request, response) => {
        const query = dialect.readDirectoryQuery(request);
        const addresses = query === undefined ? [] : hostsFor(query.region, query.availabilityZone);
        if (addresses.length === 0) {
            send(response, query === undefined ? 404 : 503, "application/json", "{}");
            return;
        }
        const body = dialect.directoryAnswer({ addresses, lifetimeMs: lookupLifetimeMs });
        send(response, 200, "application/json", body);
    };
    const showMetrics: Handler = async (_request, response) => {
        send(response, 200, metrics.registry.contentType, await metrics.registry.metrics());
    };
    return { servers: [checkReadiness, lookUp, showMetrics].map(handler => createServer(guard(handler))) };
}

function guard(handler: Handler): (request: IncomingMessage, response: ServerResponse) => void {
    return (request, response) => {
        request.resume();
        Promise.resolve(handler(request, response)).catch((cause: Error) => response.destroy(cause));
    };
}

function send(response: ServerResponse, status: number, type: string, body: string): void {
    response.writeHead(status, { "content-type": type, "content-length": Buffer.byteLength(body) });
    response.end(body);
}
