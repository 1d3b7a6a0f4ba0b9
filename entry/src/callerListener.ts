import type { Configuration, Route } from "@pistachioreel/config";
import type { Delivery } from "@pistachioreel/delivery";
import type { Membership } from "@pistachioreel/membership";
import { Failure } from "@pistachioreel/result-code";
import { lingerOnClose, malformedFailure, rejectMalformed } from "@pistachioreel/runtime";
import type { Timeline } from "@pistachioreel/timeline";
import { err, ok, type Result } from "neverthrow";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { Duplex } from "node:stream";
import { setTimeout as sleep } from "node:timers/promises";
import type { EntryMetrics } from "./entryMetrics.js";
import type { FleetState } from "./fleetState.js";
import type { LookupResolver } from "./lookupResolver.js";
import { refuse } from "./refuse.js";
import type { WorkspaceAdmission } from "./workspaceAdmission.js";

interface CallerListenerOptions {
    readonly hostId: string;
    readonly incarnation: string;
    readonly state: FleetState;
    readonly membership: Membership;
    readonly admission: WorkspaceAdmission;
    readonly delivery: Delivery;
    readonly lookup: LookupResolver;
    readonly metrics: EntryMetrics;
    readonly timeline: Timeline;
    readonly now: () => number;
}

interface AdmittedRequest {
    readonly route: Route;
    readonly configuration: Configuration;
    readonly workspace: string | undefined;
    readonly key: string | undefined;
}

const LOOKUP_PATH = "/v1/lookup";
const HEADERS_TIMEOUT_MS = 5_000;
const TIMEOUT_CHECK_INTERVAL_MS = 1_000;
const KEEP_ALIVE_TIMEOUT_MS = 30_000;
const LINGER_POLL_MS = 20;
const MAX_HEADER_BYTES = 16 * 1024;
const KEY_PATTERN = /prk_[\w-]{8,}/;
const IDEMPOTENCY_KEY_PATTERN = /^[\x21-\x7e]{1,255}$/;
const MS_PER_SECOND = 1_000;

/** Listener for callers: lookups, and requests that are delivered to targets. */
export class CallerListener {
    readonly server: Server;
    private sequence = 0;
    private readonly running = new Set<ServerResponse>();
    private connections = 0;
    private leaving = false;

    constructor(private readonly opts: CallerListenerOptions) {
        this.server = createServer({
            headersTimeout: HEADERS_TIMEOUT_MS,
            keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
            maxHeaderSize: MAX_HEADER_BYTES,
            requestTimeout: 0,
            connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
            // Checked by the listener, so that the refusal has a result code.
            requireHostHeader: false,
        }, (request, response) => {
            this.handle(request, response).catch((cause: Error) => response.destroy(cause));
        });
        this.server.on("clientError", (error: NodeJS.ErrnoException, socket: Duplex) => {
            const failure = malformedFailure(error);
            this.opts.metrics.requests.inc({ workspace: "", code: failure.number });
            rejectMalformed(socket, failure, ["x-not-run: 1", `x-result-code: ${failure.number}`]);
        });
        this.server.on("connection", (socket: Duplex) => {
            this.connections++;
            socket.once("close", () => this.connections--);
        });
    }

    /**
     * Serves callers that still come, for at most `lingerMs`, then closes. Responses ask their callers to leave, those
     * of running requests too. Resolves when all requests have ended.
     */
    async drain(lingerMs: number): Promise<void> {
        this.leaving = true;
        this.running.forEach(response => response.shouldKeepAlive = false);
        await this.linger(this.opts.now() + lingerMs);
        await new Promise<void>(resolve => {
            this.server.close(() => resolve());
            this.server.closeIdleConnections();
        });
    }

    /** A connection that is closed while it is idle can cut off a request that is on its way. */
    private async linger(until: number): Promise<void> {
        while (this.connections > 0 && this.opts.now() < until) {
            await sleep(LINGER_POLL_MS);
        }
    }

    private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
        this.running.add(response);
        response.once("close", () => this.running.delete(response));
        if (this.leaving) {
            response.shouldKeepAlive = false;
        }
        if (request.method === "GET" && pathOf(request) === LOOKUP_PATH) {
            this.answerLookup(request, response);
            return;
        }
        const id = `${this.opts.hostId}-${this.opts.incarnation}-${++this.sequence}`;
        const startedAt = this.opts.now();
        const admitted = await this.limit(this.admit(request));
        if (admitted.isErr()) {
            this.refuseRequest(request, response, id, admitted.error);
            return;
        }
        await this.deliver(request, response, id, startedAt, admitted.value);
    }

    private async deliver(
        request: IncomingMessage,
        response: ServerResponse,
        id: string,
        startedAt: number,
        { route, configuration, workspace, key }: AdmittedRequest,
    ): Promise<void> {
        const service = configuration.rules.services[route.service];
        const deadlineMs = Math.min(service?.deadlineMs ?? 0, callerDeadlineMs(request));
        const result = await this.opts.delivery.deliver({
            id,
            workspace,
            service: route.service,
            priority: route.priority,
            isIdempotent: route.idempotent,
            routePath: route.path,
            idempotencyKey: request.headers["idempotency-key"]?.toString(),
            maxBodyBytes: route.maxBodyBytes,
            deadlineAt: startedAt + deadlineMs,
            attemptTimeoutMs: service?.attemptTimeoutMs ?? deadlineMs,
            key,
            reauthorize: () => workspace === undefined || key === undefined ? ok(undefined) : this.verify(key),
            request,
            response,
        });
        this.opts.metrics.latency.observe({ route: route.path }, (this.opts.now() - startedAt) / MS_PER_SECOND);
        if (result.isErr()) {
            this.refuseRequest(request, response, id, result.error, workspace);
            return;
        }
        const { target = "", attempts, response: { status } } = result.value;
        this.opts.metrics.requests.inc({ workspace: workspace ?? "", code: 0 });
        this.opts.timeline.record("request-complete", { request: id, workspace, fields: { target, status, attempts } });
    }

    private admit(request: IncomingMessage): Result<AdmittedRequest, Failure> {
        const { configuration } = this.opts.state;
        if (configuration === undefined) {
            return err(new Failure("notReady"));
        }
        if (KEY_PATTERN.test(decodeLoosely(request.url ?? ""))) {
            return err(new Failure("keyInQuery"));
        }
        const route = configuration.findRoute(request.method ?? "", pathOf(request));
        if (route === undefined) {
            return err(new Failure("routeUnknown"));
        }
        if (Number(request.headers["content-length"] ?? 0) > route.maxBodyBytes) {
            return err(new Failure("bodyTooLarge"));
        }
        if (request.headers.host === undefined && request.httpVersion === "1.1") {
            return err(new Failure("requestMalformed", "the request has no `Host`"));
        }
        if (Number.isNaN(callerDeadlineMs(request))) {
            return err(new Failure("requestMalformed", "`X-Deadline-Ms` must be a positive number of milliseconds"));
        }
        const idempotencyKey = request.headers["idempotency-key"]?.toString();
        if (!route.idempotent && idempotencyKey === undefined) {
            return err(new Failure("idempotencyKeyMissing"));
        }
        if (idempotencyKey !== undefined && !IDEMPOTENCY_KEY_PATTERN.test(idempotencyKey)) {
            return err(new Failure("requestMalformed", "`Idempotency-Key` must be 1 to 255 visible ASCII characters"));
        }
        if (route.open) {
            return ok({ route, configuration, workspace: undefined, key: bearerKey(request) });
        }
        return this.authenticate(request, route).map(({ workspace, key }) => ({
            route,
            configuration,
            workspace,
            key,
        }));
    }

    private async limit(allowed: Result<AdmittedRequest, Failure>): Promise<Result<AdmittedRequest, Failure>> {
        const workspace = allowed.isOk() ? allowed.value.workspace : undefined;
        if (workspace === undefined) {
            return allowed;
        }
        const { admitted, retryAfterSeconds } = await this.opts.admission.admit(workspace);
        return admitted ? allowed : err(new Failure("rateExceeded", undefined, { details: { retryAfterSeconds } }));
    }

    private authenticate(request: IncomingMessage, route: Route): Result<{ workspace: string; key: string; }, Failure> {
        const key = bearerKey(request);
        if (key === undefined) {
            return err(new Failure("keyMissing"));
        }
        const verified = this.verify(key);
        if (verified.isErr()) {
            return err(verified.error);
        }
        const workspace = verified.value;
        if (route.workspaces !== undefined && !route.workspaces.includes(workspace)) {
            return err(new Failure("workspaceMismatch"));
        }
        return ok({ workspace, key });
    }

    /** The workspace of a key. A host that is cut off cannot tell whether the key has been withdrawn. */
    private verify(key: string): Result<string, Failure> {
        if (!this.opts.membership.isFresh()) {
            return err(new Failure("evidenceStale"));
        }
        const workspace = this.opts.state.keyVerifier.verify(key);
        return workspace === undefined ? err(new Failure("keyRejected")) : ok(workspace);
    }

    private refuseRequest(
        request: IncomingMessage,
        response: ServerResponse,
        requestId: string,
        failure: Failure,
        workspace?: string,
    ): void {
        this.opts.metrics.requests.inc({ workspace: workspace ?? "", code: failure.number });
        const fields = { code: failure.number, reason: failure.code };
        this.opts.timeline.record("request-refused", { request: requestId, workspace, fields });
        if (response.headersSent || response.destroyed) {
            return;
        }
        // An unread body would be parsed as the next request of the connection.
        if (!request.complete) {
            response.setHeader("connection", "close");
            lingerOnClose(request);
        }
        const retryAfter = failure.details["retryAfterSeconds"];
        refuse(response, failure, {
            requestId,
            ...(typeof retryAfter === "number" ? { retryAfterSeconds: retryAfter } : {}),
        });
    }

    private answerLookup(request: IncomingMessage, response: ServerResponse): void {
        const answer = this.opts.lookup.resolve(clientOf(request), request.socket.remoteAddress);
        if (answer.isErr()) {
            refuse(response, answer.error);
            return;
        }
        const body = JSON.stringify(answer.value);
        response.writeHead(200, {
            "content-type": "application/json",
            "content-length": Buffer.byteLength(body),
            // The answer depends on the caller's address, so shared caches must not keep it.
            "cache-control": `private, max-age=${answer.value.lifetimeSeconds}`,
        });
        response.end(body);
    }
}

/** The `client` parameter of a lookup. */
function clientOf(request: IncomingMessage): string | undefined {
    const [, query] = (request.url ?? "").split("?", 2);
    return query === undefined ? undefined : new URLSearchParams(query).get("client") ?? undefined;
}

function pathOf(request: IncomingMessage): string {
    return (request.url ?? "/").split("?", 1)[0] as string;
}

function bearerKey(request: IncomingMessage): string | undefined {
    return /^Bearer (\S+)$/i.exec(request.headers.authorization ?? "")?.[1];
}

/** Time that the caller gives, in ms; NaN if it is not a positive number. */
function callerDeadlineMs(request: IncomingMessage): number {
    const value = request.headers["x-deadline-ms"];
    if (value === undefined) {
        return Infinity;
    }
    return Number(value) > 0 ? Number(value) : NaN;
}

function decodeLoosely(url: string): string {
    try {
        return decodeURIComponent(url);
    }
    catch {
        return url;
    }
}
