import { type DesiredState, type Route, SplitChooser, type Workspace } from "@pistachioreel/desired-state";
import type { TargetAnswer } from "@pistachioreel/forwarding";
import type { Logger } from "@pistachioreel/logging";
import { Failure, resultCodes } from "@pistachioreel/result-code";
import { err, ok, type Result } from "neverthrow";
import { createServer, type IncomingMessage, type Server, type ServerResponse, STATUS_CODES } from "node:http";
import type { Duplex } from "node:stream";
import type { CallerRequest } from "./callerRequest.js";
import { CallerWaits } from "./callerWaits.js";
import type { Dialect } from "./dialect.js";
import type { GatewayMetrics } from "./gatewayMetrics.js";
import { readBody } from "./readBody.js";
import type { RelayResult } from "./relayResult.js";
import type { RequestRelay } from "./requestRelay.js";
import type { WorkspaceLimits } from "./workspaceLimits.js";

interface RequestListenerOptions {
    readonly dialect: Dialect;
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
    readonly route: Route;
    readonly service: string;
    readonly workspace: Workspace | undefined;
}

const DEFAULT_HEADER_BYTES = 64 * 1024;
const DEFAULT_IDLE_TIMEOUT_MS = 15_000;
const TIMEOUT_CHECK_INTERVAL_MS = 500;
const MS_PER_SECOND = 1_000;
/** Part of the time that a caller has left that it waits at most before it comes back. */
const MAX_RETRY_AFTER_SHARE = 1 / 3;

/** Takes requests of callers, admits them and answers them. */
export class RequestListener {
    readonly server: Server;
    private readonly split = new SplitChooser();
    private readonly waits = new CallerWaits();
    private runningCount = 0;
    private connectionCount = 0;
    private heldBytes = 0;
    private isLeaving = false;

    constructor(private readonly opts: RequestListenerOptions) {
        this.server = createServer({
            keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MS,
            maxHeaderSize: DEFAULT_HEADER_BYTES,
            requestTimeout: 0,
            connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
            noDelay: true,
        }, (request, response) => {
            this.handle(request, response).catch((cause: Error) => {
                this.opts.logger.error({ event: "request-crashed", fields: { reason: cause.message } });
                response.destroy();
            });
        });
        this.server.on("clientError", (error: NodeJS.ErrnoException, socket: Duplex) => rejectMalformed(socket, error));
        this.server.on("connection", (socket: Duplex) => {
            this.connectionCount++;
            socket.once("close", () => this.connectionCount--);
        });
    }

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
        const arrivedAt = this.opts.now();
        const caller = this.opts.dialect.readRequest(request);
        this.runningCount++;
        try {
            await this.serve(request, response, caller, arrivedAt);
        }
        finally {
            this.runningCount--;
        }
    }

    private async serve(
        request: IncomingMessage,
        response: ServerResponse,
        caller: CallerRequest,
        arrivedAt: number,
    ): Promise<void> {
        const left = new AbortController();
        response.once("close", () => response.writableFinished || left.abort());
        const maxBytes = this.opts.desiredState()?.limits.bodyBytes ?? DEFAULT_HEADER_BYTES;
        const body = await readBody(request, Math.min(maxBytes, this.opts.maxHeldBytes - this.heldBytes));
        if (body.isErr()) {
            this.refuse(response, caller, body.error, { isBroken: true });
            return;
        }
        const admitted = this.admit(caller);
        if (admitted.isErr()) {
            this.refuse(response, caller, admitted.error);
            return;
        }
        const { route, service, workspace } = admitted.value;
        const retryAfterMs = workspace === undefined ? undefined : this.opts.limits.admit(workspace);
        const deadlineAt = arrivedAt + Math.min(caller.deadlineMs ?? Infinity, route.timeoutMs);
        if (retryAfterMs !== undefined) {
            this.refuse(response, caller, new Failure("rateExceeded"), {
                retryAfterMs,
                deadlineAt,
                route,
                workspace: workspace?.name,
            });
            return;
        }
        const bytes = body.value?.length ?? 0;
        this.heldBytes += bytes;
        const result = await this.opts.relay.run({
            id: caller.id ?? "",
            method: request.method ?? "GET",
            url: request.url ?? "/",
            rawHeaders: request.rawHeaders,
            body: body.value,
            route,
            service,
            workspace,
            key: caller.key,
            object: caller.object === undefined || !route.isSticky ? undefined : `${route.name}:${caller.object}`,
            objectiveAt: arrivedAt + route.objectiveMs - this.waits.waitedMs(route.name, caller.deadlineMs),
            deadlineAt,
        }, left.signal);
        this.heldBytes -= bytes;
        this.answer(response, caller, result, { route, arrivedAt, deadlineAt });
    }

    private admit(caller: CallerRequest): Result<AdmittedRequest, Failure> {
        const state = this.opts.desiredState();
        if (state === undefined) {
            return err(new Failure("notReady"));
        }
        if (caller.id === undefined) {
            return err(new Failure("requestMalformed", "the request has no id"));
        }
        const route = state.findRoute(caller.host, caller.path);
        if (route === undefined) {
            return err(new Failure("routeUnknown"));
        }
        const workspace = caller.key === undefined ? undefined : state.findWorkspace(caller.key);
        if (state.needsKeys && !route.isPublic && workspace === undefined) {
            return err(new Failure(caller.key === undefined ? "keyMissing" : "keyRejected"));
        }
        return ok({ route, service: this.split.choose(route), workspace });
    }

    private answer(
        response: ServerResponse,
        caller: CallerRequest,
        result: RelayResult,
        { route, arrivedAt, deadlineAt }: { route: Route; arrivedAt: number; deadlineAt: number; },
    ): void {
        const tookMs = this.opts.now() - arrivedAt;
        this.opts.metrics.latency.observe({ route: route.name }, tookMs / MS_PER_SECOND);
        if ("failure" in result) {
            const { failure, retryAfterMs, target } = result;
            this.refuse(response, caller, failure, { retryAfterMs, deadlineAt, target, route, tookMs });
            return;
        }
        this.opts.metrics.requests.inc({ route: route.name, code: 0 });
        const { answer, target, sends } = result;
        this.opts.logger.debug({
            event: "request-answered",
            fields: {
                request: caller.id,
                route: route.name,
                target,
                sends,
                object: caller.object,
                status: answer.status,
                tookMs: Math.round(tookMs),
            },
        });
        if (response.destroyed) {
            return;
        }
        this.prepare(response);
        this.pass(response, answer);
    }

    private pass(response: ServerResponse, answer: TargetAnswer): void {
        const headers = this.opts.dialect.callerHeaders(answer);
        const hasBody = answer.status !== 204 && answer.status !== 304;
        if (!answer.isFramed) {
            // A length would state that the answer is whole, which its target has not done.
            response.shouldKeepAlive = false;
            response.useChunkedEncodingByDefault = false;
        }
        else if (hasBody) {
            headers.push("Content-Length", String(answer.body.length));
        }
        response.writeHead(answer.status, headers);
        response.end(hasBody ? answer.body : undefined);
    }

    private refuse(
        response: ServerResponse,
        caller: CallerRequest,
        failure: Failure,
        { retryAfterMs, deadlineAt = Infinity, target, route, workspace, isBroken = false, tookMs }: {
            retryAfterMs?: number | undefined;
            deadlineAt?: number;
            target?: string | undefined;
            route?: Route;
            workspace?: string | undefined;
            isBroken?: boolean;
            tookMs?: number;
        } = {},
    ): void {
        const { number, code } = failure;
        const state = this.opts.desiredState()?.version;
        this.opts.metrics.requests.inc({ route: route?.name ?? "", code: number });
        this.opts.logger.info({
            event: "request-refused",
            fields: {
                request: caller.id,
                route: route?.name,
                code: number,
                reason: code,
                workspace,
                target,
                state,
                tookMs: tookMs === undefined ? undefined : Math.round(tookMs),
            },
        });
        if (response.headersSent || response.destroyed) {
            return;
        }
        const maxMs = Math.max(0, deadlineAt - this.opts.now()) * MAX_RETRY_AFTER_SHARE;
        const waitMs = retryAfterMs === undefined ? undefined : Math.min(retryAfterMs, maxMs);
        const body = Buffer.from(JSON.stringify({ code: number, name: code, hint: failure.hint }));
        this.prepare(response);
        if (isBroken) {
            response.shouldKeepAlive = false;
        }
        const { status } = resultCodes[code];
        response.writeHead(status, [
            "Content-Type",
            "application/json",
            ...this.opts.dialect.refusalHeaders(waitMs),
            "Content-Length",
            String(body.length),
        ]);
        response.end(body);
    }

    private prepare(response: ServerResponse): void {
        if (this.isLeaving) {
            response.shouldKeepAlive = false;
        }
    }
}

function rejectMalformed(socket: Duplex, error: NodeJS.ErrnoException): void {
    if (!socket.writable || error.code === "ECONNRESET") {
        socket.destroy();
        return;
    }
    const status = error.code === "HPE_HEADER_OVERFLOW" ? 431 : error.code === "ERR_HTTP_REQUEST_TIMEOUT" ? 408 : 400;
    socket.end(`HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
}
