import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import { headCost } from "./headCost.js";
import type { PassQueue } from "./passQueue.js";
import { statedBodyBytes } from "./statedBodyBytes.js";

interface RequestGateOptions {
    /** Takes memory for heads; returns false if there is none left. */
    readonly takeMemory: (bytes: number) => boolean;
    readonly releaseMemory: (bytes: number) => void;
    /** Where requests that were sent ahead wait for those of other connections. */
    readonly queue: PassQueue;
    /** Called when the connection has to close because there is no memory left for its heads. */
    readonly onMemoryFull: () => void;
}

/**
 * Requests of one connection that are processed at once. Each may need a connection to a target: with 8, 60 callers made the host open
 * 387 descriptors.
 */
const MAX_RUNNING = 3;
const HEAD_END = Buffer.from("\r\n\r\n");
/** Bytes of a body in chunks in which no end is looked for, so that a body of many blank lines is not cut into very many pieces. */
const MIN_BODY_SLICE_BYTES = 512;
/** Memory of heads that each connection has on its own. One ordinary request needs less, and never lacks memory. */
const FREE_HEAD_BYTES = 16 * 1024;
const MAX_LISTENERS = 100;
/** Memory of a request and its response besides the head and the bodies. */
const REQUEST_BYTES = 4 * 1024;
const NO_BYTES = Buffer.alloc(0);

/**
 * Passes the bytes of a connection on to Node's parser request by request, while a bounded number of them is processed. The parser
 * would start all requests of a read, several hundred, at once. What is not passed on stays unread in the socket, except for one read.
 */
export class RequestGate {
    private held: Buffer = NO_BYTES;
    /** Requests that are processed, with the memory of their heads in bytes. */
    private readonly running = new Map<IncomingMessage, number>();
    private last: IncomingMessage | undefined;
    /** Bytes that are missing of a body with a stated length. */
    private missingBodyBytes = 0;
    /** Memory of the heads of all running requests and of the one that is arriving, in bytes. */
    private headBytes = 0;
    private arrivingHeadBytes = 0;
    /** Memory of the last head if its request has ended, in bytes; it is needed until the rest of its body has been dropped. */
    private endedHeadBytes = 0;
    private heldBytes = 0;
    private takenBytes = 0;
    private wantsBytes = true;
    private isPassing = false;
    private isQueued = false;
    private isStopped = false;
    private readonly parse: (bytes: Buffer) => void;
    private readonly receive = (bytes: Buffer): void => {
        this.held = this.held.length === 0 ? bytes : Buffer.concat([this.held, bytes]);
        this.pass();
    };
    private readonly pauseSocket: () => Socket;
    private readonly resumeSocket: () => Socket;

    /** @param socket A connection that an HTTP server has just accepted. */
    constructor(private readonly socket: Socket, private readonly opts: RequestGateOptions) {
        const [parse] = socket.listeners("data");
        this.parse = parse as (bytes: Buffer) => void;
        socket.removeAllListeners("data");
        // Each request of the connection has a few listeners of its own.
        socket.setMaxListeners(MAX_LISTENERS);
        // Also keeps the parser from reading the socket by itself.
        socket.on("data", this.receive);
        this.pauseSocket = socket.pause.bind(socket);
        this.resumeSocket = socket.resume.bind(socket);
        // The parser pauses and resumes the socket for bodies that are not read and for responses that are not.
        socket.pause = () => {
            this.wantsBytes = false;
            return this.pauseSocket();
        };
        socket.resume = () => {
            this.wantsBytes = true;
            if (!this.isInPlace) {
                return this.resumeSocket();
            }
            this.pass();
            return socket;
        };
        socket.once("close", () => this.close());
    }

    /** Starts a request; returns a function that ends it. */
    start(request: IncomingMessage): () => void {
        this.forgetEnded();
        this.running.set(request, this.arrivingHeadBytes);
        this.arrivingHeadBytes = 0;
        this.last = request;
        return () => {
            const headBytes = this.running.get(request);
            if (headBytes === undefined) {
                return;
            }
            this.running.delete(request);
            if (request === this.last) {
                this.endedHeadBytes = headBytes;
            }
            else {
                this.changeHeadBytes(-headBytes);
            }
            this.enqueue();
        };
    }

    /** Passes nothing more on. */
    stop(): void {
        this.isStopped = true;
        this.held = NO_BYTES;
    }

    /** Whether a listener that discards the rest has not replaced this one. */
    private get isInPlace(): boolean {
        return this.socket.listeners("data").includes(this.receive);
    }

    private get isInBody(): boolean {
        return this.last !== undefined && !this.last.complete;
    }

    private get canPass(): boolean {
        return this.wantsBytes && !this.isStopped && this.socket.writable &&
            (this.isInBody || this.running.size < MAX_RUNNING);
    }

    private pass(): void {
        if (!this.isInPlace) {
            this.held = NO_BYTES;
            return;
        }
        if (this.isPassing || this.isQueued) {
            return;
        }
        this.isPassing = true;
        this.forgetEnded();
        const { last } = this;
        // All of a body, but only one request: the others wait behind the requests of other connections.
        while (this.held.length > 0 && this.canPass && (this.last === last || this.isInBody)) {
            const slice = this.held.subarray(0, this.sliceBytes());
            this.held = this.held.subarray(slice.length);
            this.passSlice(slice);
        }
        this.isPassing = false;
        if (this.held.length > 0 && this.canPass) {
            this.enqueue();
        }
        this.countHeld();
        if (this.socket.destroyed || !this.isInPlace) {
            return;
        }
        if (this.held.length > 0 || !this.canPass) {
            this.pauseSocket();
        }
        else {
            this.held = NO_BYTES;
            this.resumeSocket();
        }
    }

    private enqueue(): void {
        if (!this.isQueued && !this.socket.destroyed) {
            this.isQueued = true;
            this.opts.queue.add(() => {
                this.isQueued = false;
                this.pass();
            });
        }
    }

    /** Counts the read that is not passed on as memory of heads. */
    private countHeld(): void {
        const bytes = this.held.length === 0 ? 0 : this.held.buffer.byteLength;
        const added = bytes - this.heldBytes;
        this.heldBytes = bytes;
        if (added !== 0 && !this.changeHeadBytes(added)) {
            this.opts.onMemoryFull();
        }
    }

    /** Frees the memory of the last head once its request has ended and its body has been read or dropped. */
    private forgetEnded(): void {
        if (this.last !== undefined && this.last.complete && !this.running.has(this.last)) {
            this.last = undefined;
            this.changeHeadBytes(-this.endedHeadBytes);
            this.endedHeadBytes = 0;
        }
    }

    private passSlice(slice: Buffer): void {
        const { last } = this;
        const isBody = this.isInBody;
        if (isBody) {
            this.missingBodyBytes -= Math.min(this.missingBodyBytes, slice.length);
        }
        else {
            const isWhole = slice.subarray(-HEAD_END.length).equals(HEAD_END);
            const cost = headCost(slice) + (isWhole ? REQUEST_BYTES : 0);
            this.arrivingHeadBytes += cost;
            if (!this.changeHeadBytes(cost)) {
                this.opts.onMemoryFull();
                return;
            }
        }
        this.parse(slice);
        if (this.last === last) {
            return;
        }
        this.missingBodyBytes = isBody || this.last === undefined ? 0 : statedBodyBytes(this.last) ?? 0;
    }

    /** Length of the next slice: up to the end of a head, or of a body whose length is known. */
    private sliceBytes(): number {
        const { held, missingBodyBytes } = this;
        if (this.isInBody && missingBodyBytes > 0) {
            return Math.min(missingBodyBytes, held.length);
        }
        const end = held.indexOf(HEAD_END, this.isInBody ? MIN_BODY_SLICE_BYTES : 0);
        return end < 0 ? held.length : end + HEAD_END.length;
    }

    /** Returns false if there is no memory for the heads. */
    private changeHeadBytes(difference: number): boolean {
        this.headBytes += difference;
        const wanted = Math.max(0, this.headBytes - FREE_HEAD_BYTES);
        const added = wanted - this.takenBytes;
        if (added > 0 && !this.opts.takeMemory(added)) {
            return false;
        }
        if (added < 0) {
            this.opts.releaseMemory(-added);
        }
        this.takenBytes = wanted;
        return true;
    }

    private close(): void {
        this.stop();
        this.opts.releaseMemory(this.takenBytes);
        this.takenBytes = 0;
        this.headBytes = 0;
        this.running.clear();
    }
}
