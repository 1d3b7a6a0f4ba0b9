import { bodyFramingOf, holdsOtherResponse } from "@pistachioreel/forwarding";
import { GrowingBuffer, PieceCount } from "@pistachioreel/runtime";
import { createHash, type Hash } from "node:crypto";
import type { ServerResponse } from "node:http";
import type { Dispatcher } from "undici";
import type { AttemptResult } from "./attemptResult.js";
import type { DeliveredResponse } from "./deliveredResponse.js";
import { returnedHeaders } from "./forwardedHeaders.js";
import { StrayResponse } from "./strayResponse.js";

interface AttemptOptions {
    readonly requestId: string;
    readonly method: string;
    readonly response: ServerResponse;
    /** Whether the attempt continues when the caller disconnects; the digest of the response is then computed. */
    readonly isDetached: boolean;
    /** Called just before the request's head is written; false leaves the request unsent. */
    readonly canSend: () => boolean;
    /** Called when the request's head is written and whenever a part of the response arrives. */
    readonly onProgress: () => void;
    readonly onEnd: (result: AttemptResult) => void;
}

/** Responses up to this size are buffered until complete, so that a truncated one can be retried. */
const MAX_BUFFERED_RESPONSE_BYTES = 64 * 1024;
/** Bytes at the end of a streamed body that are kept, as another response's head may start in them. */
const SCANNED_TAIL_BYTES = 16 * 1024;
const NO_BYTES = Buffer.alloc(0);
const NOT_RUN_HEADER = "x-not-run";
const REQUEST_ID_HEADER = "x-request-id";

type ResponseHead = Pick<DeliveredResponse, "status" | "headers">;

/** Sends a request to one target and relays the response to the caller. */
export class Attempt implements Dispatcher.DispatchHandler {
    private sent = false;
    private ended = false;
    private streaming = false;
    private refused = false;
    private unframed = false;
    private head: ResponseHead = { status: 502, headers: [] };
    private readonly buffered = new GrowingBuffer();
    private readonly pieces = new PieceCount();
    /** The last bytes of a streamed body. */
    private scannedTail: Buffer = NO_BYTES;
    private controller: Dispatcher.DispatchController | undefined;
    private stoppedBy: AttemptResult["stoppedBy"];
    private readonly digest: Hash | undefined;

    constructor(private readonly opts: AttemptOptions) {
        this.digest = opts.isDetached ? createHash("sha256") : undefined;
    }

    /** Stops the attempt and closes its connection, which cancels the request on the target. */
    stop(reason: NonNullable<AttemptResult["stoppedBy"]>): void {
        if (this.ended) {
            return;
        }
        this.stoppedBy ??= reason;
        this.controller?.abort(new Error(reason));
    }

    onRequestStart(controller: Dispatcher.DispatchController): void {
        if (this.stoppedBy === undefined && !this.opts.canSend()) {
            this.stoppedBy = "deadline";
        }
        if (this.stoppedBy !== undefined) {
            controller.abort(new Error(this.stoppedBy));
            return;
        }
        this.controller = controller;
        this.sent = true;
        this.opts.onProgress();
    }

    onResponseStart(controller: Dispatcher.DispatchController, status: number): void {
        if (status < 200) {
            return;
        }
        this.opts.onProgress();
        const rawHeaders = (controller.rawHeaders as Buffer[] | undefined)?.map(String) ?? [];
        this.head = { status, headers: returnedHeaders(rawHeaders) };
        const responseRequestId = headerValue(rawHeaders, REQUEST_ID_HEADER);
        this.refused = status === 503 && headerValue(rawHeaders, NOT_RUN_HEADER) !== undefined;
        if (responseRequestId !== undefined && responseRequestId !== this.opts.requestId) {
            controller.abort(new StrayResponse("the response carries the id of another request"));
        }
        else if (this.refused && responseRequestId === undefined) {
            // The connection is closed, since the same refusal, repeated, would be taken for one of the next request.
            this.end({ end: "refused" });
            controller.abort(new Error("the refusal names no request"));
        }
        else if (!this.isFramed(rawHeaders)) {
            this.unframed = true;
            controller.abort(new Error("the response has neither a content length nor chunks"));
        }
    }

    onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
        if (this.refused) {
            return;
        }
        this.opts.onProgress();
        if (this.pieces.add(chunk.length)) {
            controller.abort(new Error("the response arrives in too many small pieces"));
            return;
        }
        this.digest?.update(chunk);
        if (!this.streaming && this.buffered.size + chunk.length <= MAX_BUFFERED_RESPONSE_BYTES) {
            this.buffered.append(chunk);
            return;
        }
        const scanned = Buffer.concat([this.streaming ? this.scannedTail : this.buffered.bytes, chunk]);
        this.scannedTail = scanned.subarray(-SCANNED_TAIL_BYTES);
        if (this.holdsOther(scanned, true)) {
            controller.abort(new StrayResponse("the body holds bytes of another response"));
            return;
        }
        this.startStreaming();
        this.forwardChunk(controller, chunk);
    }

    onResponseEnd(controller: Dispatcher.DispatchController): void {
        if (this.refused) {
            this.end({ end: "refused" });
            return;
        }
        if (this.holdsOther(this.streaming ? this.scannedTail : this.buffered.bytes, false)) {
            this.onResponseError(controller, new StrayResponse("the body ends with bytes of another response"));
            return;
        }
        const { response } = this.opts;
        const body = this.streaming ? undefined : this.buffered.bytes;
        if (!response.destroyed) {
            if (body !== undefined) {
                this.writeHead(body.length);
            }
            response.end(body);
        }
        this.end({ end: "complete", response: { ...this.head, body, digest: this.digest?.digest("hex") } });
    }

    onResponseError(_controller: Dispatcher.DispatchController, cause: Error): void {
        const { stoppedBy } = this;
        if (!this.sent) {
            this.end({ end: stoppedBy === "disconnect" ? "cancelled" : "unsent", cause, stoppedBy });
            return;
        }
        // Destroying the connection tells the caller that the response is incomplete.
        if (this.streaming) {
            this.opts.response.destroy();
        }
        const isPartial = this.streaming || this.unframed;
        this.end({ end: stoppedBy === "disconnect" ? "cancelled" : isPartial ? "cut" : "broken", cause, stoppedBy });
    }

    private holdsOther(body: Buffer, continues: boolean): boolean {
        const namesRequest = ({ headers }: { readonly headers: readonly string[]; }) => {
            const id = headerValue(headers, REQUEST_ID_HEADER);
            // Where the other message ends is not known yet, and parts of a body may bear ids of their own.
            return continues ? id === this.opts.requestId : id !== undefined;
        };
        return holdsOtherResponse(body, { surplus: NO_BYTES, isUnframed: false, continues, namesRequest });
    }

    private startStreaming(): void {
        if (this.streaming) {
            return;
        }
        this.streaming = true;
        if (!this.opts.response.destroyed) {
            this.writeHead(undefined);
            this.opts.response.write(this.buffered.bytes);
        }
        this.buffered.clear();
    }

    private forwardChunk(controller: Dispatcher.DispatchController, chunk: Buffer): void {
        const { response } = this.opts;
        if (response.destroyed || response.write(chunk)) {
            return;
        }
        controller.pause();
        const resume = () => {
            response.off("drain", resume).off("close", resume);
            controller.resume();
        };
        response.once("drain", resume).once("close", resume);
    }

    private writeHead(length: number | undefined): void {
        const { status, headers } = this.head;
        const needsLength = length !== undefined && this.hasBody(status) &&
            headerValue(headers, "content-length") === undefined;
        const lengthHeader = needsLength ? ["content-length", String(length)] : [];
        this.opts.response.writeHead(status, [...headers, REQUEST_ID_HEADER, this.opts.requestId, ...lengthHeader]);
    }

    /** False for a response that ends with its connection, which undici takes for complete also if it was reset. */
    private isFramed(rawHeaders: readonly string[]): boolean {
        const head = { status: this.head.status, minorVersion: 1, headers: rawHeaders };
        const framing = bodyFramingOf(head, this.opts.method);
        return framing.isOk() && framing.value.kind !== "unframed";
    }

    private hasBody(status: number): boolean {
        return this.opts.method !== "HEAD" && status !== 204 && status !== 304;
    }

    private end(result: AttemptResult): void {
        if (!this.ended) {
            this.ended = true;
            this.opts.onEnd(result);
        }
    }
}

function headerValue(rawHeaders: readonly string[], name: string): string | undefined {
    const index = rawHeaders.findIndex((header, i) => i % 2 === 0 && header.toLowerCase() === name);
    return index < 0 ? undefined : rawHeaders[index + 1];
}
