import type { TargetResponse } from "@pistachioreel/forwarding";
import { type Failure, resultCodes } from "@pistachioreel/result-code";
import { lingerOnClose } from "@pistachioreel/runtime";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { CallerRequest } from "./callerRequest.js";
import type { DetouredRequest } from "./detouredRequest.js";
import { detourHeaders } from "./detourHeaders.js";
import type { Dialect } from "./dialect.js";
import { statedBodyBytes } from "./statedBodyBytes.js";
import type { UnsentResponses } from "./unsentResponses.js";

interface CallerExchangeOptions {
    readonly dialect: Dialect;
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    /** Set if another host has passed the request on. */
    readonly detour?: DetouredRequest | undefined;
    /** Counts the response until the caller has read it. */
    readonly unsentResponses: UnsentResponses;
    /** Monotonic time in ms. */
    readonly now: () => number;
}

interface RefusalOptions {
    /** Time after which the caller may retry, in ms. */
    readonly retryAfterMs?: number | undefined;
    /** Monotonic time in ms of the request's deadline, which limits `retryAfterMs`. */
    readonly deadlineAt?: number;
}

/** Longest retry delay, as a share of the time until the deadline, so that the retry itself still has time to run. */
const MAX_RETRY_AFTER_SHARE = 1 / 3;
/** A body of this length or less is read and dropped after a refusal, so that its connection can stay open. */
const MAX_DROPPED_BODY_BYTES = 64 * 1024;
/** Time for the rest of such a body to arrive, in ms. */
const MAX_DROPPED_BODY_MS = 5_000;

/** One HTTP exchange with a caller: its parsed request, its cancellation and the response. */
export class CallerExchange {
    readonly caller: CallerRequest;
    /** Monotonic time in ms at which the head of the request arrived. */
    readonly arrivedAt: number;
    /**
     * Resolves once the response has been handed to the operating system, or the connection has closed. Waits for the latter after a
     * refusal that leaves a body unread, as the caller could lose the refusal otherwise.
     */
    readonly ended: Promise<void>;
    private readonly abortController = new AbortController();
    private isLingering = false;

    constructor(private readonly opts: CallerExchangeOptions) {
        const { dialect, request, response, now } = opts;
        this.arrivedAt = now();
        this.caller = dialect.readRequest(request);
        const abort = () => response.writableFinished || this.abortController.abort();
        // The socket ends some iterations of the event loop before the response closes, so this notices a caller that
        // has left sooner.
        request.socket.once("end", abort);
        response.once("close", () => {
            request.socket.off("end", abort);
            abort();
        });
        this.ended = new Promise(resolve => {
            const finish = () => {
                request.socket.off("close", finish);
                resolve();
            };
            response.once("close", () => this.isLingering || finish());
            // A response that waits for an earlier one of its connection is not told that the connection has closed.
            request.socket.once("close", finish);
        });
    }

    /** Aborts when the caller disconnects. */
    get signal(): AbortSignal {
        return this.abortController.signal;
    }

    /** Set if another host has passed the request on. */
    get detour(): DetouredRequest | undefined {
        return this.opts.detour;
    }

    /** Whether no response has begun and the connection is open. */
    get canRespond(): boolean {
        const { response } = this.opts;
        return !response.headersSent && !response.destroyed;
    }

    /** Time since the request arrived, in ms. */
    get elapsedMs(): number {
        return Math.round(this.opts.now() - this.arrivedAt);
    }

    /** Tells a caller that waits for it (`Expect: 100-continue`) to send the body. */
    inviteBody(): void {
        if (this.opts.request.headers.expect !== undefined) {
            this.opts.response.writeContinue();
        }
    }

    /** Sends a target's response to the caller. */
    respond(targetResponse: TargetResponse): void {
        const { dialect, response } = this.opts;
        if (response.destroyed) {
            return;
        }
        const headers = dialect.callerHeaders(targetResponse);
        const hasBody = targetResponse.status !== 204 && targetResponse.status !== 304;
        if (!targetResponse.isFramed) {
            // A Content-Length would claim that the body is complete, which the target's response did not state.
            response.shouldKeepAlive = false;
            response.useChunkedEncodingByDefault = false;
        }
        else if (hasBody) {
            headers.push("Content-Length", String(targetResponse.body.length));
        }
        this.opts.unsentResponses.add(response, targetResponse.body.length);
        response.writeHead(targetResponse.status, headers);
        response.end(hasBody ? targetResponse.body : undefined);
    }

    /** Sends a failure of this host to the caller, as JSON with the result code's number, name and hint. */
    refuse(failure: Failure, { retryAfterMs, deadlineAt = Infinity }: RefusalOptions = {}): void {
        const { dialect, request, response, detour, now } = this.opts;
        if (!this.canRespond) {
            return;
        }
        const maxMs = Math.max(0, deadlineAt - now()) * MAX_RETRY_AFTER_SHARE;
        const waitMs = retryAfterMs === undefined ? undefined : Math.min(retryAfterMs, maxMs);
        const { number: code, code: name, hint } = failure;
        const body = JSON.stringify({ code, name, hint });
        if (this.leavesBodyUnread()) {
            response.shouldKeepAlive = false;
            this.isLingering = true;
            lingerOnClose(request);
        }
        else if (!request.complete) {
            this.boundDroppedBody();
        }
        this.opts.unsentResponses.add(response, body.length);
        response.writeHead(resultCodes[name].status, [
            "Content-Type",
            "application/json",
            ...dialect.refusalHeaders(waitMs),
            ...(detour === undefined ? [] : [detourHeaders.refusal, `${name} ${waitMs ?? ""}`]),
            "Content-Length",
            String(Buffer.byteLength(body)),
        ]);
        response.end(body);
    }

    /** Closes the connection if the rest of a body that is dropped does not arrive in time, as it would be waited for without an end. */
    private boundDroppedBody(): void {
        const { request } = this.opts;
        const timer = setTimeout(() => request.socket.destroy(), MAX_DROPPED_BODY_MS);
        const cancel = () => clearTimeout(timer);
        request.once("end", cancel).once("close", cancel);
    }

    /** Closes the connection after this response. */
    closeAfterResponse(): void {
        this.opts.response.shouldKeepAlive = false;
    }

    /** Whether the rest of the body is not going to be read, so that its connection has to close. */
    private leavesBodyUnread(): boolean {
        const { request } = this.opts;
        if (request.complete) {
            return false;
        }
        const hasBeenRead = request.readableFlowing !== null;
        const bodyBytes = statedBodyBytes(request) ?? Infinity;
        return hasBeenRead || request.headers.expect !== undefined || bodyBytes > MAX_DROPPED_BODY_BYTES;
    }
}
