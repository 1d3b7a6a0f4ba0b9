import { Failure } from "@pistachioreel/result-code";
import { err, ok, type Result } from "neverthrow";
import type { IncomingMessage } from "node:http";

/** A body that is kept in memory until its request has ended. */
interface BufferedBody {
    /** `undefined` if the request has no body. */
    readonly bytes: Buffer | undefined;
    /** Frees the body's share of the limit. */
    release(): void;
}

/** Buffers request bodies, so that they can be sent again to another target, within a limit for all together. */
export class RequestBodyBuffer {
    private bufferedBytes = 0;

    /** @param maxBufferedBytes Maximum size of all buffered bodies together. */
    constructor(private readonly maxBufferedBytes: number) {}

    /**
     * Reads the complete body of a request. A failure releases what was read of it.
     *
     * Failures: `bodyTooLarge`, `memoryFull`, and `requestMalformed` if the connection closed before the body's end.
     */
    async read(request: IncomingMessage, maxBytes: number): Promise<Result<BufferedBody, Failure>> {
        const { headers } = request;
        if (headers["transfer-encoding"] === undefined && headers["content-length"] === undefined) {
            return ok({ bytes: undefined, release: () => undefined });
        }
        const chunks: Buffer[] = [];
        let bytes = 0;
        const release = () => {
            this.bufferedBytes -= bytes;
            bytes = 0;
        };
        const failure = await this.readChunks(request, chunk => {
            chunks.push(chunk);
            bytes += chunk.length;
            this.bufferedBytes += chunk.length;
            return bytes > maxBytes
                ? new Failure("bodyTooLarge")
                : this.bufferedBytes > this.maxBufferedBytes
                ? new Failure("memoryFull")
                : undefined;
        });
        if (failure !== undefined) {
            release();
            return err(failure);
        }
        return ok({ bytes: Buffer.concat(chunks), release });
    }

    /** Passes chunks to the callback until the end of the body, or until the callback returns a failure. */
    private readChunks(
        request: IncomingMessage,
        onChunk: (chunk: Buffer) => Failure | undefined,
    ): Promise<Failure | undefined> {
        return new Promise(resolve => {
            request.on("data", (chunk: Buffer) => {
                const failure = onChunk(chunk);
                if (failure !== undefined) {
                    request.removeAllListeners("data").pause();
                    resolve(failure);
                }
            });
            request.once("end", () => resolve(undefined));
            request.once(
                "close",
                () => resolve(new Failure("requestMalformed", "the connection closed before the body was complete")),
            );
        });
    }
}
