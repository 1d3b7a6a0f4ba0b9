import type { BodyDecoder } from "./bodyDecoder.js";
import type { BodyFraming } from "./bodyFraming.js";
import { bodyFramingOf } from "./bodyFramingOf.js";
import { ByteCursor } from "./byteCursor.js";
import { ChunkedBody } from "./chunkedBody.js";
import type { ContentSink } from "./contentSink.js";
import { headerValues } from "./headerValues.js";
import { HeadReader } from "./headReader.js";
import { holdsOtherResponse } from "./holdsOtherResponse.js";
import { mayHoldResponse } from "./mayHoldResponse.js";
import { ResponseBody } from "./responseBody.js";
import type { ResponseFault } from "./responseFault.js";
import type { ResponseHead } from "./responseHead.js";
import type { ResponseMatcher } from "./responseMatcher.js";
import type { ResponseMemoryShare } from "./responseMemoryShare.js";
import { SizedBody } from "./sizedBody.js";
import type { TargetResponse } from "./targetResponse.js";
import { UnframedBody } from "./unframedBody.js";

interface ResponseReaderOptions {
    readonly requestId: string;
    readonly method: string;
    readonly matcher: ResponseMatcher;
    /** Maximum length of the response body. */
    readonly maxBytes: number;
    /** Whether the connection has carried no request before; true by default. */
    readonly isFirst?: boolean;
    /** Memory for the response bodies of the target. */
    readonly memory?: ResponseMemoryShare;
}

/**
 * Most bytes of one exchange that are not part of its body: heads, framing of chunks, trailers and responses to other
 * requests. More of them are no response, whatever follows.
 */
const MAX_OVERHEAD_BYTES = 1024 * 1024;
/** Most heads of interim responses and responses to other requests before the request's own response. */
const MAX_SKIPPED_HEADS = 100;
const SWITCHING_PROTOCOLS_STATUS = 101;
const NO_BYTES = Buffer.alloc(0);
/** Drops the content of responses to other requests. */
const DROPPED_CONTENT: ContentSink = { append: () => undefined };

/**
 * - `reading`: more bytes are needed.
 * - `complete`: all of the response was read.
 * - `invalid`: the response is malformed, truncated, too large, or cannot be attributed to a request.
 */
type ReadState = "reading" | "complete" | "invalid";

/** The message that is being read after its head. */
interface RunningMessage {
    /** Whether it is the response to the request; other messages are skipped. */
    readonly isOwn: boolean;
    readonly body: BodyDecoder;
}

/**
 * Reads the response to one request from the bytes of a connection and skips responses to other requests. It alone
 * decides whether bytes are a response: they must follow RFC 9112 and stay within the limits, and once they have not,
 * the state stays `invalid`.
 */
export class ResponseReader {
    private state: ReadState = "reading";
    private head: HeadReader | undefined = new HeadReader();
    private message: RunningMessage | undefined;
    private ownHead: ResponseHead | undefined;
    private body: ResponseBody | undefined;
    private receivedBytes = 0;
    private skippedHeads = 0;
    private keepAlive = false;
    private mayBeLate = false;
    private isFramed = false;
    private hasExtraBytes = false;
    private foundFault: ResponseFault | undefined;

    constructor(private readonly opts: ResponseReaderOptions) {}

    /** Whether the connection can carry another request after this response. */
    get isReusable(): boolean {
        return this.state === "complete" && this.keepAlive && this.isFramed && !this.hasExtraBytes;
    }

    /** Why the state is `invalid`. */
    get fault(): ResponseFault | undefined {
        return this.foundFault;
    }

    /** The response; valid only once the state is `complete`. */
    get response(): TargetResponse {
        const { status = 0, headers = [] } = this.ownHead ?? {};
        const { isFramed, mayBeLate } = this;
        return { status, headers, body: this.body?.bytes ?? Buffer.alloc(0), isFramed, mayBeLate };
    }

    /** Reads the next bytes of the connection. Each step takes at least one of them, so that the loop ends. */
    read(bytes: Buffer): ReadState {
        this.receivedBytes += bytes.length;
        const input = new ByteCursor(bytes);
        while (this.state === "reading" && !input.isAtEnd) {
            const fault = this.readStep(input);
            if (fault !== undefined) {
                this.reject(fault);
            }
        }
        this.hasExtraBytes ||= !input.isAtEnd;
        if (this.state === "complete") {
            this.checkBody(input.isAtEnd ? NO_BYTES : input.rest);
        }
        if (this.state === "reading" && this.receivedBytes - (this.body?.size ?? 0) > MAX_OVERHEAD_BYTES) {
            this.reject("overhead");
        }
        return this.state;
    }

    /** Releases the memory of the body. To be called once the response has been used or is no longer wanted. */
    dispose(): void {
        this.body?.dispose();
    }

    /** Handles an orderly end of the connection, which completes a response without a length. */
    finish(): ReadState {
        if (this.state === "reading") {
            const { message } = this;
            if (message?.isOwn === true && message.body.endsWithConnection) {
                this.state = "complete";
                this.checkBody(NO_BYTES);
            }
            else {
                this.reject("truncated");
            }
        }
        return this.state;
    }

    private reject(fault: ResponseFault): void {
        this.state = "invalid";
        this.foundFault = fault;
    }

    /** Rejects a response whose framing fits, but whose body holds bytes of another one. */
    private checkBody(surplus: Buffer): void {
        const { matcher, requestId } = this.opts;
        const body = this.body?.bytes ?? NO_BYTES;
        const mayHoldOther = matcher.trustsBodies !== true && (surplus.length > 0 || mayHoldResponse(body));
        if (!mayHoldOther) {
            return;
        }
        const namesRequest = ({ status, headers }: ResponseHead) =>
            matcher.matchResponse(requestId, status, headers) !== "invalid";
        if (holdsOtherResponse(body, { surplus, isUnframed: !this.isFramed, namesRequest })) {
            this.reject("otherResponse");
        }
    }

    private readStep(input: ByteCursor): ResponseFault | undefined {
        return this.message === undefined ? this.readHead(input) : this.readBody(input, this.message);
    }

    private readHead(input: ByteCursor): ResponseFault | undefined {
        this.head ??= new HeadReader();
        const read = this.head.read(input);
        if (read.isErr()) {
            return read.error;
        }
        return read.value === undefined ? undefined : this.handleHead(read.value);
    }

    private readBody(input: ByteCursor, { isOwn, body }: RunningMessage): ResponseFault | undefined {
        const content = isOwn ? this.body ?? DROPPED_CONTENT : DROPPED_CONTENT;
        const fault = body.decode(input, content);
        if (fault === undefined) {
            this.endMessageIfComplete();
        }
        return fault;
    }

    private handleHead(head: ResponseHead): ResponseFault | undefined {
        this.head = undefined;
        const framing = bodyFramingOf(head, this.opts.method);
        if (framing.isErr()) {
            return framing.error;
        }
        if (head.status < 200) {
            return head.status === SWITCHING_PROTOCOLS_STATUS ? "protocolSwitch" : this.countSkipped();
        }
        const matched = this.opts.matcher.matchResponse(this.opts.requestId, head.status, head.headers);
        switch (matched) {
            case "invalid":
                return "unattributed";
            case "stray":
                this.startMessage(framing.value, false);
                return this.countSkipped();
            default:
                return this.startOwn(head, framing.value, matched === "unattributed");
        }
    }

    private countSkipped(): ResponseFault | undefined {
        this.skippedHeads++;
        return this.skippedHeads > MAX_SKIPPED_HEADS ? "headCount" : undefined;
    }

    private startOwn(head: ResponseHead, framing: BodyFraming, isUnattributed: boolean): ResponseFault | undefined {
        if (framing.kind === "sized" && framing.length > this.opts.maxBytes) {
            return "bodySize";
        }
        this.ownHead = head;
        this.isFramed = framing.kind !== "unframed";
        this.keepAlive = isPersistent(head) && !isUnattributed;
        this.mayBeLate = isUnattributed && this.opts.isFirst === false;
        const { maxBytes, memory } = this.opts;
        this.body = new ResponseBody({
            maxBytes,
            memory,
            statedBytes: framing.kind === "sized" ? framing.length : undefined,
        });
        this.startMessage(framing, true);
        return undefined;
    }

    private startMessage(framing: BodyFraming, isOwn: boolean): void {
        this.message = { isOwn, body: decoderOf(framing) };
        this.endMessageIfComplete();
    }

    private endMessageIfComplete(): void {
        if (this.message?.body.isComplete !== true) {
            return;
        }
        if (this.message.isOwn) {
            this.state = "complete";
        }
        this.message = undefined;
    }
}

function decoderOf(framing: BodyFraming): BodyDecoder {
    switch (framing.kind) {
        case "none":
            return new SizedBody(0);
        case "sized":
            return new SizedBody(framing.length);
        case "chunked":
            return new ChunkedBody();
        case "unframed":
            return new UnframedBody();
    }
}

/** Whether the target keeps the connection open after its response (RFC 9112, section 9.3). */
function isPersistent({ minorVersion, headers }: ResponseHead): boolean {
    const options = headerValues(headers, "connection").flatMap(value => value.toLowerCase().split(","));
    const hasOption = (name: string) => options.some(option => option.trim() === name);
    return !hasOption("close") && (minorVersion > 0 || hasOption("keep-alive"));
}
