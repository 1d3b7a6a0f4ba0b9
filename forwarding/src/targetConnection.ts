import { parseEndpoint } from "@pistachioreel/runtime";
import { connect, type Socket } from "node:net";
import { encodeRequest } from "./encodeRequest.js";
import type { ExchangeResult } from "./exchangeResult.js";
import { headerValue } from "./headerValue.js";
import type { ResponseMatcher } from "./responseMatcher.js";
import type { ResponseMemoryShare } from "./responseMemoryShare.js";
import { ResponseReader } from "./responseReader.js";
import type { TargetRequest } from "./targetRequest.js";
import { wasReset } from "./wasReset.js";

interface TargetConnectionOptions {
    /** `address:port` of the target. */
    readonly address: string;
    /** Local IP address to connect from. */
    readonly localAddress?: string;
    readonly connectTimeoutMs: number;
    readonly matcher: ResponseMatcher;
    /** Memory for the response bodies of the target; without it, only each body is limited. */
    readonly memory?: ResponseMemoryShare;
    /** Monotonic time in ms. */
    readonly now: () => number;
}

interface RunningExchange {
    readonly reader: ResponseReader;
    readonly finish: (result: ExchangeResult) => void;
}

/** Responses with a larger body count as invalid and are not forwarded. */
const MAX_RESPONSE_BYTES = 32 * 1024 * 1024;
const MS_PER_SECOND = 1_000;

/** A connection to a target that carries one request at a time. */
export class TargetConnection {
    /** Monotonic time in ms at which the connection was opened or the last response was complete. */
    idleSince: number;
    private readonly socket: Socket;
    private running: RunningExchange | undefined;
    private isUsable = true;
    private hasCarriedRequest = false;
    private keepAliveMs = Infinity;

    private constructor(private readonly opts: TargetConnectionOptions, socket: Socket) {
        this.socket = socket;
        this.idleSince = opts.now();
        socket.on("data", chunk => this.handleData(chunk));
        socket.on("end", () => this.handleEnd());
        socket.on("error", error => this.fail(error.message));
        socket.on("close", () => this.fail("the target closed the connection"));
    }

    /** Opens a connection. Resolves to a reason if that fails, takes longer than the connect timeout or is aborted. */
    static open(opts: TargetConnectionOptions, signal: AbortSignal): Promise<TargetConnection | string> {
        return new Promise(resolve => {
            const { address: host, port } = parseEndpoint(opts.address);
            const { localAddress } = opts;
            // Half-open, so that a request is still written after the target has ended its side.
            const socket = connect({
                host,
                port,
                noDelay: true,
                allowHalfOpen: true,
                ...(localAddress && { localAddress }),
            });
            const finish = (reason?: string) => {
                clearTimeout(timer);
                signal.removeEventListener("abort", onAbort);
                socket.off("error", onError).off("connect", onConnect);
                if (reason === undefined) {
                    resolve(new TargetConnection(opts, socket));
                    return;
                }
                // An `error` event without a listener would terminate the process.
                socket.on("error", () => undefined).destroy();
                resolve(reason);
            };
            const onAbort = () => finish("cancelled");
            const onError = (error: Error) => finish(error.message);
            const onConnect = () => finish();
            const timer = setTimeout(() => finish("the connection timed out"), opts.connectTimeoutMs);
            signal.addEventListener("abort", onAbort);
            socket.once("error", onError).once("connect", onConnect);
        });
    }

    /**
     * Idle time in ms after which the target may close the connection; infinite if the target has not stated one, 0 if
     * the connection is unusable.
     */
    get maxIdleMs(): number {
        return this.isUsable ? this.keepAliveMs : 0;
    }

    /** Whether a request has been sent on it. */
    get hasCarried(): boolean {
        return this.hasCarriedRequest;
    }

    get isOpen(): boolean {
        return this.isUsable;
    }

    /**
     * Sends the request and reads its response. An abort closes the connection, so that the target stops the work.
     *
     * @throws TypeError if a header cannot be sent; nothing has been sent then.
     */
    exchange(request: TargetRequest, signal: AbortSignal): Promise<ExchangeResult> {
        if (!this.isUsable || signal.aborted) {
            return Promise.resolve({ end: "unsent", reason: signal.aborted ? "cancelled" : "connection closed" });
        }
        const bytes = encodeRequest(request);
        return new Promise(resolve => {
            const { matcher, memory } = this.opts;
            const reader = new ResponseReader({
                requestId: request.id,
                method: request.method,
                matcher,
                maxBytes: MAX_RESPONSE_BYTES,
                memory,
                isFirst: !this.hasCarriedRequest,
            });
            this.hasCarriedRequest = true;
            const onAbort = () => this.fail("cancelled");
            const finish = (result: ExchangeResult) => {
                signal.removeEventListener("abort", onAbort);
                this.running = undefined;
                reader.dispose();
                resolve(result);
            };
            this.running = { reader, finish };
            signal.addEventListener("abort", onAbort);
            this.socket.write(bytes, error => this.handleWritten(error));
        });
    }

    /** Closes the connection; a request in progress ends as `lost`. */
    close(): void {
        this.fail("closed");
    }

    private handleData(chunk: Buffer): void {
        const { running } = this;
        if (running === undefined) {
            // After unsolicited bytes, later responses can no longer be attributed to requests.
            this.fail("unexpected bytes");
            return;
        }
        const state = running.reader.read(chunk);
        if (state === "invalid") {
            this.fail(`malformed response: ${running.reader.fault}`);
        }
        else if (state === "complete") {
            this.complete(running);
        }
    }

    /** An orderly end of the connection completes a response without a length; a reset does not. */
    private handleEnd(): void {
        const { running, socket } = this;
        if (running === undefined || running.reader.finish() !== "complete") {
            this.fail("the target ended the connection");
            return;
        }
        if (socket.writableLength > 0) {
            // `handleWritten` decides: a process that dies may end its connections in order, and reset only what is sent after.
            return;
        }
        if (wasReset(socket)) {
            this.fail("the target reset the connection");
            return;
        }
        this.complete(running);
    }

    /** Handles the end of the connection if that came before the request had been written. */
    private handleWritten(error: Error | null | undefined): void {
        if (error) {
            this.fail(error.message);
        }
        else if (this.socket.readableEnded) {
            this.handleEnd();
        }
    }

    private complete({ reader, finish }: RunningExchange): void {
        const { response } = reader;
        this.keepAliveMs = keepAliveMsOf(response.headers);
        this.idleSince = this.opts.now();
        // The next request would be delayed until the rest of this request's body has been written.
        const isReusable = reader.isReusable && this.socket.writableLength === 0;
        finish({ end: "answered", response });
        if (!isReusable) {
            this.close();
        }
    }

    private fail(reason: string): void {
        this.isUsable = false;
        this.socket.destroy();
        this.running?.finish({ end: "lost", reason });
    }
}

function keepAliveMsOf(headers: readonly string[]): number {
    const seconds = /timeout=(\d+)/i.exec(headerValue(headers, "keep-alive") ?? "")?.[1];
    return seconds === undefined ? Infinity : Number(seconds) * MS_PER_SECOND;
}
