import { HTTPParser } from "http-parser-js";
import { headerValue } from "./headerValue.js";
import type { ResponseMatcher } from "./responseMatcher.js";
import type { ResponseMemory } from "./responseMemory.js";
import type { TargetResponse } from "./targetResponse.js";

interface ResponseReaderOptions {
    readonly requestId: string;
    readonly method: string;
    readonly matcher: ResponseMatcher;
    /** Maximum length of the response body. */
    readonly maxBytes: number;
    /** Memory that all response bodies share. */
    readonly memory?: ResponseMemory;
}

/**
 * Most bytes of one exchange that are not part of its body: heads, framing of chunks, trailers and responses to other
 * requests. More of them are no response, whatever follows.
 */
const MAX_OVERHEAD_BYTES = 1024 * 1024;

/** Position of the parser in its current chunk; the type declarations of the library lack it. */
interface ParserPosition {
    readonly offset: number;
    readonly end: number;
}

/**
 * - `reading`: more bytes are needed.
 * - `complete`: all of the response was read.
 * - `invalid`: the response is malformed, truncated, too large, or cannot be attributed to a request.
 */
type ReadState = "reading" | "complete" | "invalid";

/** Parses the response to one request from the bytes of a connection and skips responses to other requests. */
export class ResponseReader {
    private state: ReadState = "reading";
    private readonly parser = new HTTPParser(HTTPParser.RESPONSE);
    private status = 0;
    private headers: string[] = [];
    private chunks: Buffer[] = [];
    private bodyLength = 0;
    private receivedBytes = 0;
    private messageKind: "own" | "stray" | "interim" | undefined;
    private keepAlive = false;
    private isFramed = false;
    private hasExtraBytes = false;

    constructor(private readonly opts: ResponseReaderOptions) {
        const { parser } = this;
        parser[HTTPParser.kOnHeadersComplete] = info => this.handleHead(info);
        parser[HTTPParser.kOnBody] = (chunk, offset, length) =>
            this.handleBody(chunk.subarray(offset, offset + length));
        parser[HTTPParser.kOnMessageComplete] = () => this.handleMessageComplete();
    }

    /** Whether the connection can carry another request after this response. */
    get isReusable(): boolean {
        return this.state === "complete" && this.keepAlive && this.isFramed && !this.hasExtraBytes;
    }

    /** Whether the head of the request's own response has been read. */
    get hasStarted(): boolean {
        return this.messageKind === "own";
    }

    /** The response; valid only once the state is `complete`. */
    get response(): TargetResponse {
        const body = this.chunks.length === 1 ? this.chunks[0] as Buffer : Buffer.concat(this.chunks);
        return { status: this.status, headers: this.headers, body, isFramed: this.isFramed };
    }

    /** Parses the next bytes of the connection. */
    read(chunk: Buffer): ReadState {
        const parsed = this.parser.execute(chunk);
        this.receivedBytes += chunk.length;
        const hasExcess = this.receivedBytes - this.bodyLength > MAX_OVERHEAD_BYTES;
        if (this.state === "reading" && (parsed instanceof Error || hasExcess)) {
            this.state = "invalid";
        }
        return this.state;
    }

    /** Releases the memory of the body. To be called once the response has been used or is no longer wanted. */
    dispose(): void {
        this.opts.memory?.release(this.bodyLength);
        this.bodyLength = 0;
        this.chunks = [];
    }

    /** Handles an orderly end of the connection, which completes a response without a length. */
    finish(): ReadState {
        if (this.state === "reading") {
            const failed = this.parser.finish();
            this.state = failed === undefined && (this.state as ReadState) === "complete" ? "complete" : "invalid";
        }
        return this.state;
    }

    private handleHead(info: { statusCode: number; headers: string[]; shouldKeepAlive: boolean; }): number | void {
        if (this.state !== "reading") {
            // Another message has started on the connection without a request for it.
            this.hasExtraBytes = true;
            return;
        }
        const { statusCode, headers, shouldKeepAlive } = info;
        if (statusCode < 200) {
            this.messageKind = "interim";
            return;
        }
        const matched = this.opts.matcher.matchResponse(this.opts.requestId, statusCode, headers);
        if (matched === "invalid") {
            this.state = "invalid";
            return;
        }
        this.messageKind = matched === "unattributed" ? "own" : matched;
        this.status = statusCode;
        this.headers = headers;
        this.keepAlive = shouldKeepAlive && matched !== "unattributed";
        const isBodiless = this.opts.method === "HEAD" || statusCode === 204 || statusCode === 304;
        this.isFramed = isBodiless || headerValue(headers, "content-length") !== undefined ||
            headerValue(headers, "transfer-encoding") !== undefined;
        return isBodiless ? 1 : undefined;
    }

    private handleBody(chunk: Buffer): void {
        if (this.state !== "reading" || this.messageKind !== "own") {
            return;
        }
        const { maxBytes, memory } = this.opts;
        const length = this.bodyLength + chunk.length;
        if (length > maxBytes || memory?.tryGrow(length, chunk.length) === false) {
            this.state = "invalid";
            return;
        }
        this.bodyLength = length;
        this.chunks.push(chunk);
    }

    private handleMessageComplete(): void {
        if (this.state === "reading" && this.messageKind === "own") {
            this.state = "complete";
            // The parser would read the remaining bytes as the start of another response.
            const { offset, end } = this.parser as unknown as ParserPosition;
            this.hasExtraBytes = offset < end;
        }
        else if (this.state === "reading") {
            this.messageKind = undefined;
        }
    }
}
