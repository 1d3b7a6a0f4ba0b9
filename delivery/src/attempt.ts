import type { ServerResponse } from "node:http";
import type { Dispatcher } from "undici";
import type { AttemptResult } from "./attemptResult.js";
import { returnedHeaders } from "./forwardedHeaders.js";

interface AttemptOptions {
    readonly response: ServerResponse;
    /** Headers that are added to the response. */
    readonly addedHeaders: readonly string[];
    readonly onEnd: (result: AttemptResult) => void;
}

/** Responses up to this size are held until they are complete, so that a broken one can be retried. */
const HELD_RESPONSE_BYTES = 64 * 1024;
const NOT_RUN_HEADER = "x-not-run";

type ResponseHead = { readonly status: number; readonly headers: string[]; };

/** Runs one request on one target and passes the response on to the caller. */
export class Attempt implements Dispatcher.DispatchHandler {
    private sent = false;
    private ended = false;
    private streaming = false;
    private refused = false;
    private head: ResponseHead | undefined;
    private held: Buffer[] = [];
    private heldBytes = 0;
    private controller: Dispatcher.DispatchController | undefined;
    private abortCause: Error | undefined;

    constructor(private readonly opts: AttemptOptions) {}

    /** Stops the attempt and closes its connection, which cancels the work on the target. */
    abort(cause: Error): void {
        this.abortCause = cause;
        this.controller?.abort(cause);
    }

    onRequestStart(controller: Dispatcher.DispatchController): void {
        if (this.abortCause !== undefined) {
            controller.abort(this.abortCause);
            return;
        }
        this.controller = controller;
        this.sent = true;
    }

    onResponseStart(controller: Dispatcher.DispatchController, status: number): void {
        if (status < 200) {
            return;
        }
        const raw = (controller.rawHeaders as Buffer[] | undefined)?.map(String) ?? [];
        this.head = { status, headers: [...returnedHeaders(raw), ...this.opts.addedHeaders] };
        this.refused = status === 503 && raw.some((name, i) => i % 2 === 0 && name.toLowerCase() === NOT_RUN_HEADER);
    }

    onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
        if (this.refused) {
            return;
        }
        if (!this.streaming && this.heldBytes + chunk.length <= HELD_RESPONSE_BYTES) {
            this.held.push(chunk);
            this.heldBytes += chunk.length;
            return;
        }
        this.startStreaming();
        if (!this.opts.response.write(chunk)) {
            controller.pause();
            this.opts.response.once("drain", () => controller.resume());
        }
    }

    onResponseEnd(): void {
        if (this.refused) {
            this.end({ end: "refused" });
            return;
        }
        const { response } = this.opts;
        if (this.streaming) {
            response.end();
        }
        else {
            this.writeHead(this.heldBytes);
            response.end(this.held.length === 1 ? this.held[0] : Buffer.concat(this.held));
        }
        this.end({ end: "complete", status: this.head?.status });
    }

    onResponseError(_controller: Dispatcher.DispatchController, cause: Error): void {
        if (!this.sent) {
            this.end({ end: "unsent", cause });
            return;
        }
        // Destroying the connection shows the caller that the response is not whole.
        if (this.streaming) {
            this.opts.response.destroy();
        }
        this.end({ end: this.streaming ? "cut" : "broken", cause });
    }

    private startStreaming(): void {
        if (this.streaming) {
            return;
        }
        this.streaming = true;
        this.writeHead(undefined);
        this.held.forEach(chunk => this.opts.response.write(chunk));
        this.held = [];
    }

    private writeHead(length: number | undefined): void {
        const { status, headers } = this.head ?? { status: 502, headers: [] };
        const hasLength = headers.some((name, i) => i % 2 === 0 && name.toLowerCase() === "content-length");
        const lengthHeader = length === undefined || hasLength ? [] : ["content-length", String(length)];
        this.opts.response.writeHead(status, [...headers, ...lengthHeader]);
    }

    private end(result: AttemptResult): void {
        if (!this.ended) {
            this.ended = true;
            this.opts.onEnd(result);
        }
    }
}
