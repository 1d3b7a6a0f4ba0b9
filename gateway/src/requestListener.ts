import { type DesiredState, type Route, TrafficSplitter, type Workspace } from "@pistachioreel/desired-state";
import type { Logger } from "@pistachioreel/logging";
import { Failure } from "@pistachioreel/result-code";
import { malformedFailure, rejectMalformed } from "@pistachioreel/runtime";
import { err, ok, type Result } from "neverthrow";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { Duplex } from "node:stream";
import { CallerExchange } from "./callerExchange.js";
import type { CallerRequest } from "./callerRequest.js";
import { CallerWaitEstimator } from "./callerWaitEstimator.js";
import type { Dialect } from "./dialect.js";
import { EventLoopBarrier } from "./eventLoopBarrier.js";
import type { GatewayMetrics } from "./gatewayMetrics.js";
import type { RelayedRequest } from "./relayedRequest.js";
import { RequestBodyBuffer } from "./requestBodyBuffer.js";
import type { RequestRelay } from "./requestRelay.js";
import type { WorkspaceLimits } from "./workspaceLimits.js";

interface RequestListenerOptions {
    readonly dialect: Dialect;
    /** `undefined` while the host cannot serve. */
    readonly desiredState: () => DesiredState | undefined;
    readonly limits: WorkspaceLimits;
    readonly relay: RequestRelay;
    readonly metrics: GatewayMetrics;
    readonly logger: Logger;
    /** Bytes of bodies that the process may hold. */
    readonly maxHeldBytes: number;
    /** Monotonic time in ms. */
    readonly now: () => number;
}

interface AdmittedRequest {
    readonly id: string;
    readonly route: Route;
    readonly workspace: Workspace | undefined;
    /** Monotonic time in ms at which the caller or the route gives up. */
    readonly deadlineAt: number;
}

/** What is known about a refused request, for its log line and its answer. */
interface RefusalContext {
    readonly route?: Route;
    readonly workspace?: Workspace | undefined;
    readonly target?: string | undefined;
    readonly retryAfterMs?: number | undefined;
    readonly deadlineAt?: number;
    readonly isBroken?: boolean;
}

const MAX_HEADER_BYTES = 64 * 1024;
const DEFAULT_IDLE_TIMEOUT_MS = 15_000;
const TIMEOUT_CHECK_INTERVAL_MS = 500;
const MS_PER_SECOND = 1_000;
/** A host that knows nothing yet mostly does so for less than this time, in ms. */
const NOT_READY_RETRY_MS = 300;

/** Takes requests of callers, admits them and answers them. */
export class RequestListener {
    readonly server: Server;
    private readonly split = new TrafficSplitter();
    private readonly waits = new CallerWaitEstimator();
    private readonly bodies: RequestBodyBuffer;
    private readonly turns: EventLoopBarrier;
    private runningCount = 0;
    private connectionCount = 0;
    private isLeaving = false;

    constructor(private readonly opts: RequestListenerOptions) {
        this.bodies = new RequestBodyBuffer(opts.maxHeldBytes);
        this.turns = new EventLoopBarrier({ now: opts.now });
        this.server = createServer({
            keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MS,
            maxHeaderSize: MAX_HEADER_BYTES,
            requestTimeout: 0,
            connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
            noDelay: true,
        }, (request, response) => {
            this.handle(request, response).catch((cause: Error) => {
                this.opts.logger.error({ event: "request-crashed", fields: { reason: cause.message } });
                response.destroy();
            });
        });
        this.server.on("clientError", (error: NodeJS.ErrnoException, socket: Duplex) => {
            rejectMalformed(socket, malformedFailure(error));
        });
        this.server.on("connection", (socket: Duplex) => {
            this.connectionCount++;
            socket.once("close", () => this.connectionCount--);
        });
    }

    /** Requests that have not been answered yet. */
    get running(): number {
        return this.runningCount;
    }

    get connections(): number {
        return this.connectionCount;
    }

    /** Adopts the limits and weights of a new desired state. */
    takeDesiredState({ limits }: DesiredState): void {
        this.split.reset();
        this.server.keepAliveTimeout = limits.idleTimeoutMs;
        this.server.headersTimeout = limits.headerTimeoutMs;
    }

    /** Asks callers with each answer to leave the connection. */
    leave(): void {
        this.isLeaving = true;
    }

    private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const { dialect, now } = this.opts;
        const exchange = new CallerExchange({ dialect, request, response, now });
        this.runningCount++;
        try {
            await this.serve(request, exchange);
        }
        finally {
            this.runningCount--;
        }
    }

    private async serve(request: IncomingMessage, exchange: CallerExchange): Promise<void> {
        const limits = this.opts.desiredState()?.limits;
        if (limits !== undefined && headBytes(request) > limits.headerBytes) {
            this.refuse(exchange, new Failure("headerTooLarge"), { isBroken: true });
            return;
        }
        const body = await this.bodies.read(request, limits?.bodyBytes ?? Infinity);
        if (body.isErr()) {
            this.refuse(exchange, body.error, { isBroken: true });
            return;
        }
        const { bytes, release } = body.value;
        const admitted = this.admit(exchange);
        if (admitted.isOk()) {
            await this.relay(request, exchange, admitted.value, bytes);
        }
        else {
            const retryAfterMs = admitted.error.code === "notReady" ? NOT_READY_RETRY_MS : undefined;
            this.refuse(exchange, admitted.error, { retryAfterMs });
        }
        release();
    }

    private admit({ caller, arrivedAt }: CallerExchange): Result<AdmittedRequest, Failure> {
        const state = this.opts.desiredState();
        if (state === undefined) {
            return err(new Failure("notReady"));
        }
        const { id, key } = caller;
        if (id === undefined) {
            return err(new Failure("requestMalformed", "the request has no id"));
        }
        const route = state.findRoute(caller.host, caller.path);
        if (route === undefined) {
            return err(new Failure("routeUnknown"));
        }
        const workspace = key === undefined ? undefined : state.findWorkspace(key);
        if (state.needsKeys && !route.isPublic && workspace === undefined) {
            return err(new Failure(key === undefined ? "keyMissing" : "keyRejected"));
        }
        const deadlineAt = arrivedAt + Math.min(caller.deadlineMs ?? Infinity, route.timeoutMs);
        return ok({ id, route, workspace, deadlineAt });
    }

    private async relay(
        request: IncomingMessage,
        exchange: CallerExchange,
        admitted: AdmittedRequest,
        body: Buffer | undefined,
    ): Promise<void> {
        const { route, workspace, deadlineAt } = admitted;
        const { limits, relay, metrics, logger } = this.opts;
        const retryAfterMs = workspace === undefined ? undefined : limits.admit(workspace);
        if (retryAfterMs !== undefined) {
            this.refuse(exchange, new Failure("rateExceeded"), { retryAfterMs, deadlineAt, route, workspace });
            return;
        }
        await this.turns.wait();
        const relayed = this.relayedRequest(request, exchange, admitted, body);
        const result = await relay.run(relayed, exchange.signal);
        metrics.latency.observe({ route: route.name }, exchange.tookMs / MS_PER_SECOND);
        if ("failure" in result) {
            this.refuse(exchange, result.failure, { ...result, deadlineAt, route, workspace });
            return;
        }
        const { answer, target, sends } = result;
        metrics.requests.inc({ route: route.name, code: 0 });
        const { status } = answer;
        const fields = { request: relayed.id, route: route.name, target, sends, status, tookMs: exchange.tookMs };
        logger.debug({ event: "request-answered", fields });
        this.prepare(exchange);
        exchange.answer(answer);
    }

    private relayedRequest(
        { method = "GET", url = "/", rawHeaders }: IncomingMessage,
        { caller, arrivedAt }: CallerExchange,
        { id, route, workspace, deadlineAt }: AdmittedRequest,
        body: Buffer | undefined,
    ): RelayedRequest {
        const service = this.split.chooseService(route);
        const objectiveAt = arrivedAt + route.objectiveMs - this.waits.waitedMs(route.name, caller.deadlineMs);
        const { key } = caller;
        const object = objectOf(caller, route);
        return { id, method, url, rawHeaders, body, route, service, workspace, key, object, objectiveAt, deadlineAt };
    }

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
            tookMs: exchange.tookMs,
        };
        logger.info({ event: "request-refused", fields });
        this.prepare(exchange);
        exchange.refuse(failure, context);
    }

    private prepare(exchange: CallerExchange): void {
        if (this.isLeaving) {
            exchange.closeAfter();
        }
    }
}

/** Names the object over all routes; `undefined` if targets are not faster at objects that they know. */
function objectOf({ object }: CallerRequest, { name, isSticky }: Route): string | undefined {
    return object === undefined || !isSticky ? undefined : `${name}:${object}`;
}

/** Bytes of the headers of a request, without its first line. */
function headBytes({ rawHeaders }: IncomingMessage): number {
    // Each name and value is followed by two bytes: a colon and a space, or the end of the line.
    return rawHeaders.reduce((sum, part) => sum + part.length + 2, 0);
}
