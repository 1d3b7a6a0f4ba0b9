import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { Dialect } from "./dialect.js";
import type { GatewayMetrics } from "./gatewayMetrics.js";
import type { HostDirectory } from "./hostDirectory.js";

interface AuxiliaryServersOptions {
    readonly dialect: Dialect;
    readonly metrics: GatewayMetrics;
    readonly directory: HostDirectory;
    readonly isReady: () => boolean;
    readonly lookupLifetimeMs: number;
}

type Handler = (request: IncomingMessage, response: ServerResponse) => void | Promise<void>;

/** Servers for readiness checks, look-ups and metrics. */
export class AuxiliaryServers {
    readonly readiness = createGuardedServer((request, response) => this.checkReadiness(request, response));
    readonly directory = createGuardedServer((request, response) => this.lookUp(request, response));
    readonly metrics = createGuardedServer((_request, response) => this.showMetrics(response));

    constructor(private readonly opts: AuxiliaryServersOptions) {}

    close(): void {
        [this.readiness, this.directory, this.metrics].forEach(server => {
            server.close();
            server.closeAllConnections();
        });
    }

    private checkReadiness(request: IncomingMessage, response: ServerResponse): void {
        const { dialect, isReady } = this.opts;
        send(response, !dialect.isReadinessCheck(request) ? 404 : isReady() ? 200 : 503, "text/plain", "");
    }

    private lookUp(request: IncomingMessage, response: ServerResponse): void {
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

    private async showMetrics(response: ServerResponse): Promise<void> {
        const { registry } = this.opts.metrics;
        send(response, 200, registry.contentType, await registry.metrics());
    }
}

function createGuardedServer(handler: Handler): Server {
    return createServer((request, response) => {
        request.resume();
        const serve = async () => handler(request, response);
        serve().catch((cause: Error) => response.destroy(cause));
    });
}

function send(response: ServerResponse, status: number, type: string, body: string): void {
    response.writeHead(status, { "content-type": type, "content-length": Buffer.byteLength(body) });
    response.end(body);
}
