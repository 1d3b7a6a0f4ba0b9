import { failureFromParserError, lingerOnClose } from "@pistachioreel/runtime";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { Duplex } from "node:stream";
import { CallerConnections } from "./callerConnections.js";
import type { Dialect } from "./dialect.js";
import type { GatewayMetrics } from "./gatewayMetrics.js";
import type { HostDirectory } from "./hostDirectory.js";
import type { ListenerLimits } from "./listenerLimits.js";
import type { RequestExplainer } from "./requestExplainer.js";
import { statedBodyBytes } from "./statedBodyBytes.js";

interface AuxiliaryServersOptions {
    readonly dialect: Dialect;
    readonly metrics: GatewayMetrics;
    readonly directory: HostDirectory;
    readonly isReady: () => boolean;
    /** Time for which callers may cache the response to a lookup, in ms. */
    readonly lookupLifetimeMs: number;
    readonly explainer: Pick<RequestExplainer, "explain">;
    /** Bounds on what callers can make the host hold. */
    readonly listenerLimits: ListenerLimits;
}

/** Time for the head of a request to arrive, in ms. */
const HEADERS_TIMEOUT_MS = 3_000;
const TIMEOUT_CHECK_INTERVAL_MS = 500;

type Handler = (request: IncomingMessage, response: ServerResponse) => void | Promise<void>;

const EXPLAIN_PATH = "/explain";

/** HTTP servers besides the one for callers: readiness checks, lookups of hosts, and metrics with explanations of requests. */
export class AuxiliaryServers {
    readonly readiness: Server;
    readonly directory: Server;
    readonly metrics: Server;

    constructor(private readonly opts: AuxiliaryServersOptions) {
        const { directory, others } = opts.listenerLimits.connections;
        this.readiness = this.createServer(others, (...call) => this.handleReadinessCheck(...call));
        this.directory = this.createServer(directory, (...call) => this.handleLookup(...call));
        this.metrics = this.createServer(others, (...call) => this.handleMetricsRequest(...call));
    }

    /** Closes the servers and their connections at once. */
    close(): void {
        [this.readiness, this.directory, this.metrics].forEach(server => {
            server.close();
            server.closeAllConnections();
        });
    }

    private handleReadinessCheck(request: IncomingMessage, response: ServerResponse): void {
        const { dialect, isReady } = this.opts;
        this.send(response, !dialect.isReadinessCheck(request) ? 404 : isReady() ? 200 : 503, "text/plain", "");
    }

    private handleLookup(request: IncomingMessage, response: ServerResponse): void {
        const { dialect, directory, lookupLifetimeMs: lifetimeMs } = this.opts;
        const query = dialect.readDirectoryQuery(request);
        if (query === undefined) {
            this.send(response, 404, "application/json", "{}");
            return;
        }
        const addresses = directory.hostsFor(query.region, query.availabilityZone);
        const isKnown = addresses.length > 0;
        const body = isKnown ? dialect.directoryResponse({ addresses, lifetimeMs }) : "{}";
        this.send(response, isKnown ? 200 : 503, "application/json", body);
    }

    private async handleMetricsRequest({ url = "" }: IncomingMessage, response: ServerResponse): Promise<void> {
        const [path, query] = url.split("?", 2);
        if (path === EXPLAIN_PATH) {
            this.handleExplainRequest(new URLSearchParams(query), response);
            return;
        }
        const { registry } = this.opts.metrics;
        this.send(response, 200, registry.contentType, await registry.metrics());
    }

    /** Responds with what would become of a request, or with the failure that its caller would get. */
    private handleExplainRequest(query: URLSearchParams, response: ServerResponse): void {
        const explained = this.opts.explainer.explain({
            host: query.get("host") ?? "",
            path: query.get("path") ?? "",
            workspace: query.get("workspace") ?? undefined,
            object: query.get("object") ?? undefined,
        });
        const body = explained.match(
            explanation => explanation,
            ({ number, code, message }) => ({ code: number, reason: code, message }),
        );
        this.send(response, explained.isOk() ? 200 : 409, "application/json", JSON.stringify(body));
    }

    /** Creates a server that destroys the response if its handler throws or rejects. */
    private createServer(maxCount: number, handler: Handler): Server {
        const connections = new CallerConnections({ limits: this.opts.listenerLimits, maxCount });
        const server = createServer({
            headersTimeout: HEADERS_TIMEOUT_MS,
            // Bodies are not read.
            requestTimeout: 0,
            connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
        }, (request, response) => {
            const endRequest = connections.startRequest(request);
            const end = () => {
                request.socket.off("close", end);
                endRequest();
            };
            response.once("close", end);
            // A response that waits for an earlier one of its connection is not told that the connection has closed.
            request.socket.once("close", end);
            if (statedBodyBytes(request) !== 0) {
                // None of these requests has a body; one without an end would keep the process busy.
                response.shouldKeepAlive = false;
                lingerOnClose(request);
            }
            const serve = async () => handler(request, response);
            serve().catch((cause: Error) => response.destroy(cause));
        });
        server.maxHeadersCount = 0;
        server.on("clientError", (error: NodeJS.ErrnoException, socket: Duplex) => {
            connections.rejectMalformed(socket, failureFromParserError(error));
        });
        connections.watch(server);
        return server;
    }

    private send(response: ServerResponse, status: number, type: string, body: string): void {
        this.opts.listenerLimits.unsentResponses.add(response, body.length);
        response.writeHead(status, { "content-type": type, "content-length": Buffer.byteLength(body) });
        response.end(body);
    }
}
