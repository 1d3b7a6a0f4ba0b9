import { lingerOnClose } from "@pistachioreel/runtime";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { Dialect } from "./dialect.js";
import type { GatewayMetrics } from "./gatewayMetrics.js";
import type { HostDirectory } from "./hostDirectory.js";
import { statedBodyBytes } from "./statedBodyBytes.js";

interface AuxiliaryServersOptions {
    readonly dialect: Dialect;
    readonly metrics: GatewayMetrics;
    readonly directory: HostDirectory;
    readonly isReady: () => boolean;
    /** Time for which callers may cache the response to a lookup, in ms. */
    readonly lookupLifetimeMs: number;
}

type Handler = (request: IncomingMessage, response: ServerResponse) => void | Promise<void>;

/** HTTP servers besides the one for callers: readiness checks, lookups of hosts, and metrics. */
export class AuxiliaryServers {
    readonly readiness = createHandlerServer((request, response) => this.handleReadinessCheck(request, response));
    readonly directory = createHandlerServer((request, response) => this.handleLookup(request, response));
    readonly metrics = createHandlerServer((_request, response) => this.handleMetricsRequest(response));

    constructor(private readonly opts: AuxiliaryServersOptions) {}

    /** Closes the servers and their connections at once. */
    close(): void {
        [this.readiness, this.directory, this.metrics].forEach(server => {
            server.close();
            server.closeAllConnections();
        });
    }

    private handleReadinessCheck(request: IncomingMessage, response: ServerResponse): void {
        const { dialect, isReady } = this.opts;
        send(response, !dialect.isReadinessCheck(request) ? 404 : isReady() ? 200 : 503, "text/plain", "");
    }

    private handleLookup(request: IncomingMessage, response: ServerResponse): void {
        const { dialect, directory, lookupLifetimeMs: lifetimeMs } = this.opts;
        const query = dialect.readDirectoryQuery(request);
        if (query === undefined) {
            send(response, 404, "application/json", "{}");
            return;
        }
        const addresses = directory.hostsFor(query.region, query.availabilityZone);
        const isKnown = addresses.length > 0;
        const body = isKnown ? dialect.directoryResponse({ addresses, lifetimeMs }) : "{}";
        send(response, isKnown ? 200 : 503, "application/json", body);
    }

    private async handleMetricsRequest(response: ServerResponse): Promise<void> {
        const { registry } = this.opts.metrics;
        send(response, 200, registry.contentType, await registry.metrics());
    }
}

/** Creates a server that destroys the response if its handler throws or rejects. */
function createHandlerServer(handler: Handler): Server {
    return createServer((request, response) => {
        if (statedBodyBytes(request) !== 0) {
            // None of these requests has a body; one without an end would keep the process busy.
            response.shouldKeepAlive = false;
            lingerOnClose(request);
        }
        const serve = async () => handler(request, response);
        serve().catch((cause: Error) => response.destroy(cause));
    });
}

function send(response: ServerResponse, status: number, type: string, body: string): void {
    response.writeHead(status, { "content-type": type, "content-length": Buffer.byteLength(body) });
    response.end(body);
}
