import { Failure } from "@pistachioreel/result-code";
import { err, ok, type Result } from "neverthrow";
import { frameSchema } from "./frames.js";
import type { FrameSocket } from "./frameSocket.js";
import type { HeartbeatPart, PeerHandler, PeerIdentity, PeerMessage } from "./peerMesh.js";

interface PeerLinkOptions {
    readonly peer: PeerIdentity;
    readonly socket: FrameSocket;
    readonly handlers: ReadonlyMap<string, PeerHandler>;
    readonly parts: ReadonlyMap<string, HeartbeatPart>;
    /** Monotonic time in ms. */
    readonly now: () => number;
}

interface SentHeartbeat {
    readonly sequence: number;
    readonly at: number;
}

/** Checked twice in an interval; a heartbeat that is due before the next check is sent now. */
const DUE_SHARE = 0.75;
/** A link is closed when this many heartbeats went without an answer. */
const MAX_UNANSWERED = 3;
const MAX_RUNNING_REQUESTS = 64;

/**
 * One proved connection to a peer. Both sides send heartbeats; each heartbeat also answers the newest one received, so
 * that a link costs two frames per interval and each side can bound the age of what the other says.
 */
export class PeerLink {
    private sequence = 0;
    private lastReceived = 0;
    private probedAt: number | undefined;
    private unanswered: SentHeartbeat[] = [];
    private beatAt = -Infinity;
    private requestSequence = 0;
    private running = 0;
    private readonly pending = new Map<number, (answer: Result<PeerMessage, Failure>) => void>();
    private isClosed = false;

    constructor(private readonly opts: PeerLinkOptions) {}

    get peer(): PeerIdentity {
        return this.opts.peer;
    }

    get isOpen(): boolean {
        return this.opts.socket.isOpen && !this.isClosed;
    }

    /** Runs the link until it closes or an invalid frame arrives. */
    async run(): Promise<Result<void, Failure>> {
        this.beat();
        const ended = await this.readFrames();
        this.close();
        return ended;
    }

    send(message: PeerMessage): boolean {
        return this.opts.socket.send(["message", message]);
    }

    async request(message: PeerMessage, timeoutMs: number): Promise<Result<PeerMessage, Failure>> {
        const id = ++this.requestSequence;
        if (!this.opts.socket.send(["request", id, message])) {
            return err(new Failure("peerUnreachable", `the queue to ${this.peer.hostId} is full`));
        }
        return new Promise(resolve => {
            const finish = (answer: Result<PeerMessage, Failure>) => {
                clearTimeout(timer);
                this.pending.delete(id);
                resolve(answer);
            };
            const unanswered = new Failure("peerUnreachable", `no answer from ${this.peer.hostId} in ${timeoutMs} ms`);
            const timer = setTimeout(() => finish(err(unanswered)), timeoutMs);
            this.pending.set(id, finish);
        });
    }

    beat(): void {
        const { parts, socket, now } = this.opts;
        const payload: Record<string, unknown> = {};
        for (const [name, part] of parts) {
            const said = part.payload();
            if (said !== undefined) {
                payload[name] = said;
            }
        }
        const sequence = ++this.sequence;
        this.beatAt = now();
        this.unanswered.push({ sequence, at: this.beatAt });
        socket.send(["heartbeat", sequence, this.lastReceived, payload]);
    }

    /** Sends a heartbeat if one is due before half of the interval, in ms, has passed. */
    beatIfDue(intervalMs: number): void {
        if (this.opts.now() - this.beatAt >= intervalMs * DUE_SHARE) {
            this.beat();
        }
    }

    /** Closes the link if the peer has been silent for too many intervals, in ms. */
    closeIfSilent(intervalMs: number): void {
        const oldest = this.unanswered[0];
        if (oldest !== undefined && this.opts.now() - oldest.at > MAX_UNANSWERED * intervalMs) {
            this.close();
        }
    }

    close(): void {
        this.isClosed = true;
        this.opts.socket.terminate();
        const failure = new Failure("peerUnreachable", `the link to ${this.peer.hostId} closed`);
        [...this.pending.values()].forEach(finish => finish(err(failure)));
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
                    this.takeHeartbeat(frame[1], frame[2], frame[3]);
                    break;
                case "message":
                    void this.handle(frame[1]);
                    break;
                case "request":
                    void this.answer(frame[1], frame[2]);
                    break;
                case "answer":
                    this.pending.get(frame[1])?.(ok(frame[2]));
                    break;
                case "no-answer":
                    this.pending.get(frame[1])?.(err(new Failure("peerUnreachable", "the peer has no answer")));
                    break;
            }
        }
    }

    private takeHeartbeat(sequence: number, answered: number, payload: Record<string, unknown>): void {
        this.lastReceived = Math.max(this.lastReceived, sequence);
        const newest = this.unanswered.findLast(sent => sent.sequence <= answered);
        this.unanswered = this.unanswered.filter(sent => sent.sequence > answered);
        this.probedAt = newest?.at ?? this.probedAt;
        for (const [name, part] of this.opts.parts) {
            if (name in payload) {
                part.receive(this.peer, payload[name], this.probedAt);
            }
        }
    }

    private async answer(id: number, message: PeerMessage): Promise<void> {
        const answer = this.running < MAX_RUNNING_REQUESTS ? await this.handle(message) : undefined;
        this.opts.socket.send(answer === undefined ? ["no-answer", id] : ["answer", id, answer]);
    }

    /** Calls the handler of a message; what a peer sends must not end the process. */
    private async handle(message: PeerMessage): Promise<PeerMessage | undefined> {
        this.running++;
        try {
            return await this.opts.handlers.get(message.type)?.(this.peer, message) ?? undefined;
        }
        catch {
            return undefined;
        }
        finally {
            this.running--;
        }
    }
}
