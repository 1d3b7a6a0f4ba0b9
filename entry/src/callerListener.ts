import type { Configuration, Route } from "@pistachioreel/config";
import type { Delivery } from "@pistachioreel/delivery";
import { decodeHeaderText } from "@pistachioreel/forwarding";
import type { Membership } from "@pistachioreel/membership";
import { Failure } from "@pistachioreel/result-code";
import { failureFromParserError, lingerOnClose, rejectMalformedRequest } from "@pistachioreel/runtime";
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
    /** Monotonic time in ms. */
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
const LINGER_POLL_INTERVAL_MS = 20;
const MAX_HEADER_BYTES = 16 * 1024;
const API_KEY_PATTERN = /prk_[\w-]{8,}/;
const IDEMPOTENCY_KEY_PATTERN = /^[\x21-\x7e]{1,255}$/;
const MS_PER_SECOND = 1_000;

/** HTTP listener for callers: responds to lookups and delivers requests to targets. */
export class CallerListener {
    /** HTTP server of the listener; not yet listening after construction. */
    readonly server: Server;
    private sequence = 0;
    private readonly openResponses = new Set<ServerResponse>();
    private connectionCount = 0;
    private isDraining = false;

    constructor(private readonly opts: CallerListenerOptions) {
        this.server = createServer({
            headersTimeout: HEADERS_TIMEOUT_MS,
            keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
            maxHeaderSize: MAX_HEADER_BYTES,
            requestTimeout: 0,
            connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
            // Checked in checkRequest, so that the refusal carries a result code.
            requireHostHeader: false,
        }, (request, response) => {
            this.handle(request, response).catch((cause: Error) => response.destroy(cause));
        });
        this.server.on("clientError", (error: NodeJS.ErrnoException, socket: Duplex) => {
            const failure = failureFromParserError(error);
            this.opts.metrics.requests.inc({ workspace: "", code: failure.number });
            rejectMalformedRequest(socket, failure, ["x-not-run: 1", `x-result-code: ${failure.number}`]);
        });
        this.server.on("connection", (socket: Duplex) => {
            this.connectionCount++;
            socket.once("close", () => this.connectionCount--);
        });
    }

    /**
     * Keeps serving until all callers have disconnected, at most for `lingerMs`, then closes the server. From now on,
     * responses ask callers to close their connection, including those of running requests. Resolves when all requests
     * have ended.
     */
    async drain(lingerMs: number): Promise<void> {
        this.isDraining = true;
        this.openResponses.forEach(response => response.shouldKeepAlive = false);
        await this.waitUntilDisconnected(this.opts.now() + lingerMs);
        await new Promise<void>(resolve => {
            this.server.close(() => resolve());
            this.server.closeIdleConnections();
        });
    }

    /** Lets callers close their connections: closing an idle one here can abort a request that is in transit. */
    private async waitUntilDisconnected(deadline: number): Promise<void> {
        while (this.connectionCount > 0 && this.opts.now() < deadline) {
            await sleep(LINGER_POLL_INTERVAL_MS);
        }
    }

    private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
        this.openResponses.add(response);
        response.once("close", () => this.openResponses.delete(response));
        if (this.isDraining) {
            response.shouldKeepAlive = false;
        }
        if (request.method === "GET" && pathOf(request) === LOOKUP_PATH) {
            this.respondToLookup(request, response);
            return;
        }
        const id = `${this.opts.hostId}-${this.opts.incarnation}-${++this.sequence}`;
        const startedAt = this.opts.now();
        const admitted = await this.applyRateLimit(this.checkRequest(request));
        if (admitted.isErr()) {
            this.refuseRequest(request, response, id, admitted.error);
            return;
        }
        await this.deliver(request, response, id, startedAt, admitted.value);
    }

    /** Delivers an admitted request; records its latency and result. */
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

    /** Finds the route and validates the headers and the key. */
    private checkRequest(request: IncomingMessage): Result<AdmittedRequest, Failure> {
        const { configuration } = this.opts.state;
        if (configuration === undefined) {
            return err(new Failure("notReady"));
        }
        if (API_KEY_PATTERN.test(decodeIfValid(request.url ?? ""))) {
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

    /** Applies the limit of the workspace to a valid request; open routes are not limited. Failure: `rateExceeded`. */
    private async applyRateLimit(checked: Result<AdmittedRequest, Failure>): Promise<Result<AdmittedRequest, Failure>> {
        const workspace = checked.isOk() ? checked.value.workspace : undefined;
        if (workspace === undefined) {
            return checked;
        }
        const { admitted, retryAfterSeconds } = await this.opts.admission.admit(workspace);
        return admitted ? checked : err(new Failure("rateExceeded", undefined, { details: { retryAfterSeconds } }));
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

    /** The workspace of a key. Fails without fresh evidence: a partitioned host can't tell if the key was withdrawn. */
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

    private respondToLookup(request: IncomingMessage, response: ServerResponse): void {
        const result = this.opts.lookup.resolve(clientOf(request), request.socket.remoteAddress);
        if (result.isErr()) {
            refuse(response, result.error);
            return;
        }
        const body = JSON.stringify(result.value);
        response.writeHead(200, {
            "content-type": "application/json",
            "content-length": Buffer.byteLength(body),
            // The response depends on the caller's address, so shared caches must not store it.
            "cache-control": `private, max-age=${result.value.lifetimeSeconds}`,
        });
        response.end(body);
    }
}

/** Value of the `client` query parameter of a lookup; `undefined` if absent. */
function clientOf(request: IncomingMessage): string | undefined {
    const [, query] = (request.url ?? "").split("?", 2);
    return query === undefined ? undefined : new URLSearchParams(query).get("client") ?? undefined;
}

/** Path of a request, without the query, as text. */
function pathOf(request: IncomingMessage): string {
    return decodeHeaderText((request.url ?? "/").split("?", 1)[0] as string);
}

function bearerKey(request: IncomingMessage): string | undefined {
    return /^Bearer (\S+)$/i.exec(request.headers.authorization ?? "")?.[1];
}

/** Deadline given by the caller, in ms; infinite if absent, NaN if it is not a positive number. */
function callerDeadlineMs(request: IncomingMessage): number {
    const value = request.headers["x-deadline-ms"];
    if (value === undefined) {
        return Infinity;
    }
    return Number(value) > 0 ? Number(value) : NaN;
}

/** Decodes percent-encoding; returns the URL as it is if the encoding is malformed. */
function decodeIfValid(url: string): string {
    try {
        return decodeURIComponent(url);
    }
    catch {
        return url;
    }
}
