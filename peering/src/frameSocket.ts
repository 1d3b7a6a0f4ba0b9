import { Failure } from "@pistachioreel/result-code";
import { err, ok, type Result } from "neverthrow";
import { on } from "node:events";
import { WebSocket } from "ws";
import type { z } from "zod";
import { type Frame, frameCodec } from "./frames.js";
import type { LinkTraffic } from "./linkTraffic.js";

/** Reading from the socket pauses while this many received frames are unprocessed. */
const MAX_UNREAD_FRAMES = 64;
const MAX_QUEUED_BYTES = 256 * 1024;

/** WebSocket that carries frames: receives them in order, and never waits to send one. */
export class FrameSocket {
    private readonly incoming: AsyncIterator<[Buffer, boolean]>;

    constructor(private readonly socket: WebSocket, private readonly traffic: LinkTraffic) {
        socket.on("error", () => socket.terminate());
        this.incoming = on(socket, "message", {
            close: ["close"],
            highWaterMark: MAX_UNREAD_FRAMES,
            lowWaterMark: 1,
        } as object) as AsyncIterator<[Buffer, boolean]>;
    }

    get isOpen(): boolean {
        return this.socket.readyState === WebSocket.OPEN;
    }

    /** Sends a frame. Returns false if the connection is closed or its send queue is full. */
    send(frame: Frame | Record<string, unknown>): boolean {
        if (!this.isOpen || this.socket.bufferedAmount > MAX_QUEUED_BYTES) {
            this.traffic.dropped++;
            return false;
        }
        const bytes = frameCodec.pack(frame);
        this.traffic.sentFrames++;
        this.traffic.sentBytes += bytes.length;
        this.socket.send(bytes, { binary: true });
        return true;
    }

    /** Receives the next frame; `undefined` when the connection has closed. Failure: `frameInvalid`. */
    async receive<S extends z.ZodType>(schema: S): Promise<Result<z.output<S> | undefined, Failure>> {
        const bytes = await this.nextBytes();
        if (bytes === undefined) {
            return ok(undefined);
        }
        this.traffic.receivedBytes += bytes.length;
        try {
            return ok(schema.parse(frameCodec.unpack(bytes)));
        }
        catch (cause) {
            return err(new Failure("frameInvalid", undefined, { cause }));
        }
    }

    /** Closes the connection at once, without a closing handshake; the other side may not notice it. */
    terminate(): void {
        this.socket.terminate();
    }

    private async nextBytes(): Promise<Buffer | undefined> {
        try {
            const next = await this.incoming.next();
            return next.done ? undefined : next.value[0];
        }
        catch {
            return undefined;
        }
    }
}
