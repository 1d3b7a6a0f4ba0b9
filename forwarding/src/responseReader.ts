import { HTTPParser } from "http-parser-js";
import { headerValue } from "./headerValue.js";
import type { ResponseMatcher } from "./responseMatcher.js";
import type { TargetResponse } from "./targetResponse.js";

interface ResponseReaderOptions {
    readonly requestId: string;
    readonly method: string;
    readonly matcher: ResponseMatcher;
    readonly maxBytes: number;
}

/** Position of the parser in the bytes that it is reading; its type declarations leave it out. */
interface ParserPosition {
    readonly offset: number;
    readonly end: number;
}

/** `reading`: more bytes are needed. `whole`: the answer is complete. `invalid`: no answer can be had. */
type ReadState = "reading" | "whole" | "invalid";

/** Reads the answer to one request from the bytes of a connection; answers to other requests are skipped. */
export class ResponseReader {
    private state: ReadState = "reading";
    private readonly parser = new HTTPParser(HTTPParser.RESPONSE);
    private status = 0;
    private headers: string[] = [];
    private chunks: Buffer[] = [];
    private bytes = 0;
    private owner: "own" | "stray" | "interim" | undefined;
    private keepAlive = false;
    private isFramed = false;
    private hasSurplus = false;

    constructor(private readonly opts: ResponseReaderOptions) {
        const { parser } = this;
        parser[HTTPParser.kOnHeadersComplete] = info => this.takeHead(info);
        parser[HTTPParser.kOnBody] = (chunk, offset, length) => this.takeBody(chunk.subarray(offset, offset + length));
        parser[HTTPParser.kOnMessageComplete] = () => this.takeEnd();
    }

    /** Whether the connection can carry another request after this answer. */
    get isReusable(): boolean {
        return this.state === "whole" && this.keepAlive && this.isFramed && !this.hasSurplus;
    }

    /** Whether a byte of the request's own answer has been read. */
    get hasBegun(): boolean {
        return this.owner === "own";
    }

    /** The answer, once the state is `whole`. */
    get response(): TargetResponse {
        const body = this.chunks.length === 1 ? this.chunks[0] as Buffer : Buffer.concat(this.chunks);
        return { status: this.status, headers: this.headers, body, isFramed: this.isFramed };
    }

    read(chunk: Buffer): ReadState {
        const parsed = this.parser.execute(chunk);
        if (this.state === "reading" && parsed instanceof Error) {
            this.state = "invalid";
        }
        return this.state;
    }

    /** The target ended the connection in an orderly way, which ends an answer without a length. */
    finish(): ReadState {
        if (this.state === "reading") {
            const failed = this.parser.finish();
            this.state = failed === undefined && (this.state as ReadState) === "whole" ? "whole" : "invalid";
        }
        return this.state;
    }

    private takeHead(info: { statusCode: number; headers: string[]; shouldKeepAlive: boolean; }): number | void {
        if (this.state !== "reading") {
            // The next message on the connection has begun, though no request asked for it.
            this.hasSurplus = true;
            return;
        }
        const { statusCode, headers, shouldKeepAlive } = info;
        if (statusCode < 200) {
            this.owner = "interim";
            return;
        }
        const owner = this.opts.matcher.matchResponse(this.opts.requestId, statusCode, headers);
        if (owner === "invalid") {
            this.state = "invalid";
            return;
        }
        this.owner = owner;
        this.status = statusCode;
        this.headers = headers;
        this.keepAlive = shouldKeepAlive;
        const isBodiless = this.opts.method === "HEAD" || statusCode === 204 || statusCode === 304;
        this.isFramed = isBodiless || headerValue(headers, "content-length") !== undefined ||
            headerValue(headers, "transfer-encoding") !== undefined;
        return isBodiless ? 1 : undefined;
    }

    private takeBody(chunk: Buffer): void {
        if (this.state !== "reading" || this.owner !== "own") {
            return;
        }
        this.bytes += chunk.length;
        if (this.bytes > this.opts.maxBytes) {
            this.state = "invalid";
            return;
        }
        this.chunks.push(chunk);
    }

    private takeEnd(): void {
        if (this.state === "reading" && this.owner === "own") {
            this.state = "whole";
            // The parser would take bytes after the answer for the beginning of another one.
            const { offset, end } = this.parser as unknown as ParserPosition;
            this.hasSurplus = offset < end;
        }
        else if (this.state === "reading") {
            this.owner = undefined;
        }
    }
}
