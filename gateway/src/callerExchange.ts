import type { TargetResponse } from "@pistachioreel/forwarding";
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
    readonly isBroken?: boolean;
}

/** Part of the time that a caller has left that it waits at most before it comes back. */
const MAX_RETRY_AFTER_SHARE = 1 / 3;

/** One request of a caller and its answer. */
export class CallerExchange {
    readonly caller: CallerRequest;
    /** Monotonic time in ms at which the head of the request arrived. */
    readonly arrivedAt: number;
    private readonly left = new AbortController();

    constructor(private readonly opts: CallerExchangeOptions) {
        const { dialect, request, response, now } = opts;
        this.arrivedAt = now();
        this.caller = dialect.readRequest(request);
        const leave = () => response.writableFinished || this.left.abort();
        // The end of the connection is read some turns of the event loop before the response closes.
        request.socket.once("end", leave);
        response.once("close", () => {
            request.socket.off("end", leave);
            leave();
        });
    }

    /** Aborts when the caller has left. */
    get signal(): AbortSignal {
        return this.left.signal;
    }

    /** Time since the request arrived, in ms. */
    get tookMs(): number {
        return Math.round(this.opts.now() - this.arrivedAt);
    }

    /** Passes a target's answer on. */
    answer(answer: TargetResponse): void {
        const { dialect, response } = this.opts;
        if (response.destroyed) {
            return;
        }
        const headers = dialect.callerHeaders(answer);
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

    /** Answers with a failure of this host. */
    refuse(failure: Failure, { retryAfterMs, deadlineAt = Infinity, isBroken = false }: RefusalOptions = {}): void {
        const { dialect, request, response, now } = this.opts;
        if (response.headersSent || response.destroyed) {
            return;
        }
        const maxMs = Math.max(0, deadlineAt - now()) * MAX_RETRY_AFTER_SHARE;
        const waitMs = retryAfterMs === undefined ? undefined : Math.min(retryAfterMs, maxMs);
        const { number: code, code: name, hint } = failure;
        const body = JSON.stringify({ code, name, hint });
        if (isBroken) {
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
    closeAfter(): void {
        this.opts.response.shouldKeepAlive = false;
    }
}
