import { type DesiredState, type Route, routeKey, TrafficSplitter, type Workspace } from "@pistachioreel/desired-state";
import type { Logger } from "@pistachioreel/logging";
import { Failure } from "@pistachioreel/result-code";
import { failureFromParserError, type SharedMemory } from "@pistachioreel/runtime";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { Duplex } from "node:stream";
import { setTimeout as sleep } from "node:timers/promises";
import type { AdmittedRequest } from "./admittedRequest.js";
import { CallerConnections } from "./callerConnections.js";
import { CallerExchange } from "./callerExchange.js";
import { CallerWaitEstimator } from "./callerWaitEstimator.js";
import type { DetouredRequest } from "./detouredRequest.js";
import type { Dialect } from "./dialect.js";
import { EventLoopBarrier } from "./eventLoopBarrier.js";
import type { GatewayMetrics } from "./gatewayMetrics.js";
import type { ListenerLimits } from "./listenerLimits.js";
import { objectKey } from "./objectKey.js";
import type { RelayedRequest } from "./relayedRequest.js";
import { RequestAdmission } from "./requestAdmission.js";
import { RequestBodyBuffer } from "./requestBodyBuffer.js";
import type { RequestRelay } from "./requestRelay.js";
import type { WorkspaceLimits } from "./workspaceLimits.js";

interface RequestListenerOptions {
    readonly dialect: Dialect;
    /** The desired state in force; `undefined` while the host cannot serve requests. */
    readonly desiredState: () => DesiredState | undefined;
    readonly limits: WorkspaceLimits;
    readonly relay: RequestRelay;
    /** Monotonic time in ms at which this host ends; infinite unless it is shutting down. */
    readonly endsAt: () => number;
    readonly metrics: GatewayMetrics;
    readonly logger: Logger;
    /** Memory for all buffered request bodies together. */
    readonly bodyMemory: SharedMemory;
    /** Bounds on what callers can make the host hold. */
    readonly listenerLimits: ListenerLimits;
    /** Monotonic time in ms. */
    readonly now: () => number;
}

/** What is known about a refused request, for the log entry and the response. */
interface RefusalContext {
    readonly route?: Route;
    readonly workspace?: Workspace | undefined;
    /** Id of the last target that was tried. */
    readonly target?: string | undefined;
    /** Time after which the caller may retry, in ms. */
    readonly retryAfterMs?: number | undefined;
    /** Monotonic time in ms of the request's deadline. */
    readonly deadlineAt?: number;
}

const MAX_HEADER_BYTES = 64 * 1024;
/** Idle timeout of callers' connections until a desired state sets another one. */
const DEFAULT_IDLE_TIMEOUT_MS = 15_000;
const TIMEOUT_CHECK_INTERVAL_MS = 500;
const MS_PER_SECOND = 1_000;

/** HTTP server for callers: reads and admits requests, has them relayed to targets, and sends the responses. */
export class RequestListener {
    readonly server: Server;
    private readonly trafficSplitter = new TrafficSplitter();
    private readonly waitEstimator = new CallerWaitEstimator();
    private readonly admission: RequestAdmission;
    private readonly bodyBuffer: RequestBodyBuffer;
    private readonly eventLoopBarrier: EventLoopBarrier;
    private readonly callerConnections: CallerConnections;
    private runningCount = 0;
    private isLeaving = false;

    constructor(private readonly opts: RequestListenerOptions) {
        this.admission = new RequestAdmission(opts);
        this.bodyBuffer = new RequestBodyBuffer(opts.bodyMemory);
        this.eventLoopBarrier = new EventLoopBarrier({ now: opts.now });
        const { listenerLimits: limits } = opts;
        this.callerConnections = new CallerConnections({ limits, maxCount: limits.connections.callers });
        this.server = createServer({
            keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MS,
            maxHeaderSize: MAX_HEADER_BYTES,
            requestTimeout: 0,
            connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
            noDelay: true,
        }, (request, response) => {
            this.handle(request, response).catch((cause: Error) => {
                this.logCrash(cause);
                response.destroy();
            });
        });
        // By default, Node leaves out the fields after the first 1,000 of a head without a word. The size of the head bounds them.
        this.server.maxHeadersCount = 0;
        // Without a listener, Node invites the body of each request that waits for it.
        this.server.on("checkContinue", (request, response) => this.server.emit("request", request, response));
        this.server.on("clientError", (error: NodeJS.ErrnoException, socket: Duplex) => {
            this.callerConnections.rejectMalformed(socket, failureFromParserError(error));
        });
        this.callerConnections.watch(this.server);
        // Called when the server closes. Node's own method also closes connections to which a response is being sent.
        this.server.closeIdleConnections = () => this.callerConnections.closeIdle();
    }

    /** Number of requests whose response has not been sent completely. */
    get running(): number {
        return this.runningCount;
    }

    /** Number of open connections of callers. */
    get connections(): number {
        return this.callerConnections.count;
    }

    /** Closes all connections; those with a request are reset, so that no response that is cut off looks complete. */
    cutOff(): void {
        this.callerConnections.cutOff();
    }

    /** Applies the timeouts of a new desired state. */
    applyDesiredState({ limits }: DesiredState): void {
        this.server.keepAliveTimeout = limits.idleTimeoutMs;
        this.server.headersTimeout = limits.headerTimeoutMs;
    }

    /** From now on closes each connection after its next response, so that callers move to other hosts. */
    startLeaving(): void {
        this.isLeaving = true;
    }

    /** Handles a request that another host has passed on. */
    async handleDetoured(request: IncomingMessage, response: ServerResponse, detour: DetouredRequest): Promise<void> {
        await this.handle(request, response, detour);
    }

    private async handle(
        request: IncomingMessage,
        response: ServerResponse,
        detour?: DetouredRequest,
    ): Promise<void> {
        const { dialect, now } = this.opts;
        const { unsentResponses } = this.opts.listenerLimits;
        const exchange = new CallerExchange({ dialect, request, response, detour, unsentResponses, now });
        const endRequest = this.callerConnections.startRequest(request);
        this.runningCount++;
        try {
            await this.serveSafely(request, exchange);
            await exchange.ended;
        }
        finally {
            this.runningCount--;
            endRequest();
        }
    }

    /** Answers the caller also if an error is thrown, after which the request may have run. */
    private async serveSafely(request: IncomingMessage, exchange: CallerExchange): Promise<void> {
        try {
            await this.serve(request, exchange);
        }
        catch (cause) {
            if (!exchange.canRespond) {
                throw cause;
            }
            this.logCrash(cause as Error, exchange.caller.id);
            this.refuse(exchange, new Failure("outcomeUnknown"));
        }
    }

    private logCrash({ message: reason }: Error, request?: string): void {
        this.opts.logger.error({ event: "request-crashed", fields: { request, reason } });
    }

    private async serve(request: IncomingMessage, exchange: CallerExchange): Promise<void> {
        const admission = this.admission.admit(request, exchange);
        if (admission.isErr()) {
            const { failure, ...context } = admission.error;
            this.refuse(exchange, failure, context);
            return;
        }
        const admitted = admission.value;
        const { route, workspace, deadlineAt, maxBodyBytes: maxBytes } = admitted;
        exchange.inviteBody();
        const timeoutMs = Math.max(0, deadlineAt - this.opts.now());
        const holder = workspace === undefined
            ? `caller:${request.socket.remoteAddress}`
            : `workspace:${workspace.name}`;
        const body = await this.bodyBuffer.read(request, { holder, maxBytes, timeoutMs });
        if (body.isErr()) {
            this.refuse(exchange, body.error, { route, workspace, deadlineAt });
            return;
        }
        const { bytes, release } = body.value;
        try {
            if (route.isIdempotent || await this.waitForTurn(request, admitted)) {
                await this.relayWithPriority(request, exchange, admitted, bytes);
            }
            else {
                this.refuse(exchange, new Failure("requestTimeout"), { route, workspace, deadlineAt });
            }
        }
        finally {
            release();
        }
    }

    /**
     * A request that may run only once waits for the responses to earlier ones of its connection: behind one that closes the connection it
     * counts as not read, and its caller sends it again. Returns false if its turn does not come before its deadline.
     */
    private async waitForTurn(request: IncomingMessage, { deadlineAt }: AdmittedRequest): Promise<boolean> {
        const timeout = new AbortController();
        const late = sleep(Math.max(0, deadlineAt - this.opts.now()), false, { signal: timeout.signal });
        try {
            return await Promise.race([this.callerConnections.waitForTurn(request), late]);
        }
        finally {
            late.catch(() => undefined);
            timeout.abort();
        }
    }

    /** Relays a request whose connection is not closed for those of other callers meanwhile. */
    private async relayWithPriority(...relayed: Parameters<RequestListener["relay"]>): Promise<void> {
        const [{ socket }] = relayed;
        const endWork = this.callerConnections.startWork(socket);
        try {
            await this.relay(...relayed);
        }
        finally {
            endWork();
        }
    }

    /** Relays an admitted request and responds. */
    private async relay(
        request: IncomingMessage,
        exchange: CallerExchange,
        admitted: AdmittedRequest,
        body: Buffer | undefined,
    ): Promise<void> {
        const { route, workspace, deadlineAt } = admitted;
        const { relay, metrics, logger } = this.opts;
        await this.eventLoopBarrier.wait();
        const relayed = this.toRelayedRequest(request, exchange, admitted, body);
        const result = await relay.run(relayed, exchange.signal);
        metrics.latency.observe({ route: route.name }, exchange.elapsedMs / MS_PER_SECOND);
        if ("failure" in result) {
            this.refuse(exchange, result.failure, { ...result, deadlineAt, route, workspace });
            return;
        }
        const { response, target, sends } = result;
        metrics.requests.inc({ route: route.name, code: 0 });
        const { status } = response;
        const fields = { request: relayed.id, route: route.name, target, sends, status, tookMs: exchange.elapsedMs };
        logger.debug({ event: "request-answered", fields });
        this.closeIfLeaving(exchange);
        exchange.respond(response);
    }

    private toRelayedRequest(
        { method = "GET", url = "/", rawHeaders }: IncomingMessage,
        { caller, arrivedAt, detour }: CallerExchange,
        { id, route: ownRoute, workspace, deadlineAt }: AdmittedRequest,
        body: Buffer | undefined,
    ): RelayedRequest {
        const route = detour === undefined ? ownRoute : { ...ownRoute, maxAttempts: detour.maxAttempts };
        const service = this.trafficSplitter.chooseService(ownRoute);
        const objectiveAt = arrivedAt + route.objectiveMs -
            this.waitEstimator.waitedMs(routeKey(route), caller.deadlineMs);
        const object = objectKey(caller, route);
        const isDetoured = detour !== undefined;
        return {
            id,
            method,
            url,
            rawHeaders,
            body,
            route,
            service,
            workspace,
            object,
            objectiveAt,
            deadlineAt,
            isDetoured,
        };
    }

    /** Counts and logs a failure and sends it to the caller. */
    private refuse(exchange: CallerExchange, failure: Failure, context: RefusalContext = {}): void {
        const { route, workspace, target } = context;
        const { metrics, logger } = this.opts;
        metrics.requests.inc({ route: route?.name ?? "", code: failure.number });
        const fields = {
            request: exchange.caller.id,
            route: route?.name,
            code: failure.number,
            reason: failure.code,
            workspace: workspace?.name,
            target,
            state: this.opts.desiredState()?.version,
            tookMs: exchange.elapsedMs,
        };
        logger.info({ event: "request-refused", fields });
        this.closeIfLeaving(exchange);
        exchange.refuse(failure, context);
    }

    private closeIfLeaving(exchange: CallerExchange): void {
        if (this.isLeaving) {
            exchange.closeAfterResponse();
        }
    }
}
