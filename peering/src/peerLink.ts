import { Failure } from "@pistachioreel/result-code";
import { err, ok, type Result } from "neverthrow";
import { frameSchema } from "./frames.js";
import type { FrameSocket } from "./frameSocket.js";
import type { HeartbeatPart, PeerHandler, PeerIdentity, PeerMessage } from "./peerMesh.js";

interface PeerLinkOptions {
    readonly peer: PeerIdentity;
    /** Which side of the connection this host is. */
    readonly side: "opener" | "acceptor";
    readonly socket: FrameSocket;
    readonly handlers: ReadonlyMap<string, PeerHandler>;
    readonly parts: ReadonlyMap<string, HeartbeatPart>;
    /** Called when the handler of a message, or of a part of a heartbeat, has failed. */
    readonly onFailure?: (type: string, cause: unknown) => void;
    /** Monotonic time in ms. */
    readonly now: () => number;
}

interface SentHeartbeat {
    readonly sequence: number;
    readonly sentAt: number;
}

/** A heartbeat is sent after this fraction of the interval; below 1, as it is only checked twice per interval. */
const DUE_INTERVAL_FRACTION = 0.75;
/** A link is closed after this many heartbeat intervals without an acknowledgement. */
const MAX_UNACKNOWLEDGED_HEARTBEATS = 3;
const MAX_RUNNING_REQUESTS = 64;

/**
 * Authenticated connection to a peer. Both sides send heartbeats, and each heartbeat acknowledges the newest one
 * received. A link therefore costs two frames per interval, and each side can bound the age of the other's data.
 */
export class PeerLink {
    private sequence = 0;
    private lastReceivedSequence = 0;
    private probedAt: number | undefined;
    private unacknowledged: SentHeartbeat[] = [];
    private lastHeartbeatAt = -Infinity;
    private requestSequence = 0;
    private running = 0;
    private readonly pendingRequests = new Map<number, (reply: Result<PeerMessage, Failure>) => void>();
    private isClosed = false;

    constructor(private readonly opts: PeerLinkOptions) {}

    get peer(): PeerIdentity {
        return this.opts.peer;
    }

    get side(): "opener" | "acceptor" {
        return this.opts.side;
    }

    get isOpen(): boolean {
        return this.opts.socket.isOpen && !this.isClosed;
    }

    /** Runs the link until it closes or an invalid frame arrives. */
    async run(): Promise<Result<void, Failure>> {
        this.sendHeartbeat();
        const ended = await this.readFrames();
        this.close();
        return ended;
    }

    /** Sends a one-way message. Returns false if the link is closed or its queue is full. */
    send(message: PeerMessage): boolean {
        return this.opts.socket.send(["message", message]);
    }

    /** Sends a request and waits for the reply. Failure: `peerUnreachable`. */
    async request(message: PeerMessage, timeoutMs: number): Promise<Result<PeerMessage, Failure>> {
        const id = ++this.requestSequence;
        if (!this.opts.socket.send(["request", id, message])) {
            return err(
                new Failure("peerUnreachable", `the link to ${this.peer.hostId} is closed or its queue is full`),
            );
        }
        return new Promise(resolve => {
            const finish = (reply: Result<PeerMessage, Failure>) => {
                clearTimeout(timer);
                this.pendingRequests.delete(id);
                resolve(reply);
            };
            const timeoutFailure = new Failure(
                "peerUnreachable",
                `no reply from ${this.peer.hostId} within ${timeoutMs} ms`,
            );
            const timer = setTimeout(() => finish(err(timeoutFailure)), timeoutMs);
            this.pendingRequests.set(id, finish);
        });
    }

    /** Sends a heartbeat with the payloads of all parts. */
    sendHeartbeat(): void {
        const { socket, now } = this.opts;
        const payload = this.collectPayloads();
        const sequence = ++this.sequence;
        this.lastHeartbeatAt = now();
        this.unacknowledged.push({ sequence, sentAt: this.lastHeartbeatAt });
        socket.send(["heartbeat", sequence, this.lastReceivedSequence, payload]);
    }

    /** Payloads by the name of their part. A part that fails is left out, so that the others still reach the peer. */
    private collectPayloads(): Record<string, unknown> {
        const payloads: Record<string, unknown> = {};
        for (const [name, part] of this.opts.parts) {
            try {
                const payload = part.payload(this.peer);
                if (payload !== undefined) {
                    payloads[name] = payload;
                }
            }
            catch (cause) {
                this.opts.onFailure?.(name, cause);
            }
        }
        return payloads;
    }

    /** Sends a heartbeat if at least three quarters of the interval have passed since the last one. */
    sendHeartbeatIfDue(intervalMs: number): void {
        if (this.opts.now() - this.lastHeartbeatAt >= intervalMs * DUE_INTERVAL_FRACTION) {
            this.sendHeartbeat();
        }
    }

    /** Closes the link if the peer has not acknowledged heartbeats for too many intervals. */
    closeIfSilent(intervalMs: number): void {
        const oldest = this.unacknowledged[0];
        if (oldest !== undefined && this.opts.now() - oldest.sentAt > MAX_UNACKNOWLEDGED_HEARTBEATS * intervalMs) {
            this.close();
        }
    }

    /** Closes the link; pending requests fail with `peerUnreachable`. */
    close(): void {
        this.isClosed = true;
        this.opts.socket.terminate();
        const failure = new Failure("peerUnreachable", `the link to ${this.peer.hostId} closed`);
        [...this.pendingRequests.values()].forEach(finish => finish(err(failure)));
    }

    private async readFrames(): Promise<Result<void, Failure>> {
        for (;;) {
            const received = await this.opts.socket.receive(frameSchema);
            if (received.isErr()) {
                return err(received.error);
            }
            const frame = received.value;
            if (frame === undefined) {
                return ok(undefined);
            }
            switch (frame[0]) {
                case "heartbeat":
                    if (!this.handleHeartbeat(frame[1], frame[2], frame[3])) {
                        return err(new Failure("frameInvalid"));
                    }
                    break;
                case "message":
                    void this.callHandler(frame[1]);
                    break;
                case "request":
                    void this.handleRequest(frame[1], frame[2]);
                    break;
                case "answer":
                    this.pendingRequests.get(frame[1])?.(ok(frame[2]));
                    break;
                case "no-answer":
                    this.pendingRequests.get(frame[1])?.(err(new Failure("peerUnreachable", "the peer cannot reply")));
                    break;
            }
        }
    }

    /** Returns whether all parts could be handled; if not, state may be half applied, and the link has to start anew. */
    private handleHeartbeat(sequence: number, acknowledged: number, payload: Record<string, unknown>): boolean {
        this.lastReceivedSequence = Math.max(this.lastReceivedSequence, sequence);
        const newest = this.unacknowledged.findLast(sent => sent.sequence <= acknowledged);
        this.unacknowledged = this.unacknowledged.filter(sent => sent.sequence > acknowledged);
        this.probedAt = newest?.sentAt ?? this.probedAt;
        for (const [name, part] of this.opts.parts) {
            try {
                if (name in payload) {
                    part.receive(this.peer, payload[name], this.probedAt);
                }
            }
            catch (cause) {
                this.opts.onFailure?.(name, cause);
                return false;
            }
        }
        return true;
    }

    private async handleRequest(id: number, message: PeerMessage): Promise<void> {
        const reply = this.running < MAX_RUNNING_REQUESTS ? await this.callHandler(message) : undefined;
        this.opts.socket.send(reply === undefined ? ["no-answer", id] : ["answer", id, reply]);
    }

    /** Calls the handler of a message and catches its errors: no message of a peer may end the process. */
    private async callHandler(message: PeerMessage): Promise<PeerMessage | undefined> {
        this.running++;
        try {
            return await this.opts.handlers.get(message.type)?.(this.peer, message) ?? undefined;
        }
        catch (cause) {
            this.opts.onFailure?.(message.type, cause);
            return undefined;
        }
        finally {
            this.running--;
        }
    }
}
