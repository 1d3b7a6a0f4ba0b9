import type { TargetAnswer } from "@pistachioreel/forwarding";
import { type Failure, resultCodes } from "@pistachioreel/result-code";
import { lingerOnClose } from "@pistachioreel/runtime";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { CallerRequest } from "./callerRequest.js";
import type { Dialect } from "./dialect.js";

interface CallerExchangeOptions {
    readonly dialect: Dialect;
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    /** Monotonic time in ms. */
    readonly now: () => number;
}

interface RefusalOptions {
    /** When the caller may come back, in ms. */
    readonly retryAfterMs?: number | undefined;
    /** Monotonic time in ms at which the caller gives up. */
    readonly deadlineAt?: number;
    /** Whether the rest of the request cannot be read, so that its connection must close. */
    readonly isUnreadable?: boolean;
}

/** Part of the time that a caller has left that it waits at most before it comes back. */
const MAX_RETRY_AFTER_SHARE = 1 / 3;

/** One request of a caller and its answer. */
export class CallerExchange {
    readonly caller: CallerRequest;
    /** Monotonic time in ms at which the head of the request arrived. */
    readonly arrivedAt: number;
    private readonly abortController = new AbortController();

    constructor(private readonly opts: CallerExchangeOptions) {
        const { dialect, request, response, now } = opts;
        this.arrivedAt = now();
        this.caller = dialect.readRequest(request);
        const abort = () => response.writableFinished || this.abortController.abort();
        // The end of the connection is read some turns of the event loop before the response closes.
        request.socket.once("end", abort);
        response.once("close", () => {
            request.socket.off("end", abort);
            abort();
        });
    }

    /** Aborts when the caller has left. */
    get signal(): AbortSignal {
        return this.abortController.signal;
    }

    /** Time since the request arrived, in ms. */
    get elapsedMs(): number {
        return Math.round(this.opts.now() - this.arrivedAt);
    }

    /** Passes a target's answer on. */
    respond(targetResponse: TargetAnswer): void {
        const { dialect, response } = this.opts;
        if (response.destroyed) {
            return;
        }
        const headers = dialect.callerHeaders(targetResponse);
        const hasBody = targetResponse.status !== 204 && targetResponse.status !== 304;
        if (!targetResponse.isFramed) {
            // A length would state that the answer is whole, which its target has not done.
            response.shouldKeepAlive = false;
            response.useChunkedEncodingByDefault = false;
        }
        else if (hasBody) {
            headers.push("Content-Length", String(targetResponse.body.length));
        }
        response.writeHead(targetResponse.status, headers);
        response.end(hasBody ? targetResponse.body : undefined);
    }

    /** Answers with a failure of this host. */
    refuse(failure: Failure, { retryAfterMs, deadlineAt = Infinity, isUnreadable = false }: RefusalOptions = {}): void {
        const { dialect, request, response, now } = this.opts;
        if (response.headersSent || response.destroyed) {
            return;
        }
        const maxMs = Math.max(0, deadlineAt - now()) * MAX_RETRY_AFTER_SHARE;
        const waitMs = retryAfterMs === undefined ? undefined : Math.min(retryAfterMs, maxMs);
        const { number: code, code: name, hint } = failure;
        const body = JSON.stringify({ code, name, hint });
        if (isUnreadable) {
            response.shouldKeepAlive = false;
            lingerOnClose(request);
        }
        response.writeHead(resultCodes[name].status, [
            "Content-Type",
            "application/json",
            ...dialect.refusalHeaders(waitMs),
            "Content-Length",
            String(Buffer.byteLength(body)),
        ]);
        response.end(body);
    }

    /** Asks the caller to leave the connection after this answer. */
    closeAfterResponse(): void {
        this.opts.response.shouldKeepAlive = false;
    }
}
