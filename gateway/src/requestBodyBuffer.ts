import { Failure } from "@pistachioreel/result-code";
import { GrowingBuffer, PieceCount, type SharedMemory } from "@pistachioreel/runtime";
import { err, ok, type Result } from "neverthrow";
import type { IncomingMessage } from "node:http";
import { statedBodyBytes } from "./statedBodyBytes.js";

/** A body that is kept in memory until its request has ended. */
interface BufferedBody {
    /** `undefined` if the request has no body. */
    readonly bytes: Buffer | undefined;
    /** Frees the body's share of the limit. */
    release(): void;
}

interface ReadOptions {
    /** Who sends the body; no holder can take all of the memory. */
    readonly holder: string;
    /** Largest body that is accepted, in bytes. */
    readonly maxBytes: number;
    /** Time within which all of the body must arrive, in ms. */
    readonly timeoutMs: number;
}

/** Buffers request bodies, so that they can be sent again to another target, within a limit for all together that no sender can use up. */
export class RequestBodyBuffer {
    /** @param memory Memory for all buffered bodies together. */
    constructor(private readonly memory: SharedMemory) {}

    /**
     * Reads the complete body of a request. A failure releases what was read of it.
     *
     * Failures: `bodyTooLarge`, `bodyFragmented`, `memoryFull`, `requestTimeout`, and `requestMalformed` if the connection closed before the body's end.
     */
    async read(
        request: IncomingMessage,
        { holder, maxBytes, timeoutMs }: ReadOptions,
    ): Promise<Result<BufferedBody, Failure>> {
        const statedBytes = statedBodyBytes(request);
        if (statedBytes === 0) {
            const bytes = request.headers["content-length"] === undefined ? undefined : Buffer.alloc(0);
            return ok({ bytes, release: () => undefined });
        }
        const body = new GrowingBuffer({ maxBytes: Math.min(maxBytes, statedBytes ?? Infinity) });
        const pieces = new PieceCount();
        let reservedBytes = 0;
        const release = () => {
            this.memory.release(holder, reservedBytes);
            reservedBytes = 0;
            body.clear();
        };
        const failure = await this.readChunks(request, timeoutMs, chunk => {
            if (body.size + chunk.length > maxBytes) {
                return new Failure("bodyTooLarge");
            }
            if (pieces.add(chunk.length)) {
                return new Failure("bodyFragmented");
            }
            const addedBytes = body.capacityWith(chunk.length) - body.capacity;
            if (!this.memory.tryTake(holder, addedBytes)) {
                return new Failure("memoryFull");
            }
            reservedBytes += addedBytes;
            body.append(chunk);
            return undefined;
        });
        if (failure !== undefined) {
            release();
            return err(failure);
        }
        return ok({ bytes: body.bytes, release });
    }

    /**
     * Passes chunks to the callback until the end of the body, until the callback returns a failure, or until the timeout, after which
     * nothing more is read.
     */
    private readChunks(
        request: IncomingMessage,
        timeoutMs: number,
        onChunk: (chunk: Buffer) => Failure | undefined,
    ): Promise<Failure | undefined> {
        return new Promise(resolve => {
            const finish = (failure?: Failure) => {
                clearTimeout(timer);
                resolve(failure);
            };
            const stop = (failure: Failure) => {
                request.removeAllListeners("data").pause();
                finish(failure);
            };
            const timer = setTimeout(() => stop(new Failure("requestTimeout")), timeoutMs);
            request.on("data", (chunk: Buffer) => {
                const failure = onChunk(chunk);
                if (failure !== undefined) {
                    stop(failure);
                }
            });
            request.once("end", () => finish());
            request.once(
                "close",
                () => finish(new Failure("requestMalformed", "the connection closed before the body was complete")),
            );
        });
    }
}
