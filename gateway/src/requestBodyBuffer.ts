import { Failure } from "@pistachioreel/result-code";
import { err, ok, type Result } from "neverthrow";
import type { IncomingMessage } from "node:http";

/** A body that is held in memory until its request has ended. */
interface HeldBody {
    /** `undefined` if the request has no body. */
    readonly bytes: Buffer | undefined;
    release(): void;
}

/** Holds the bodies of requests, so that they can be sent to another target, within a limit for all of them together. */
export class RequestBodyBuffer {
    private heldBytes = 0;

    /** @param maxHeldBytes Bytes that all bodies together may take. */
    constructor(private readonly maxHeldBytes: number) {}

    /**
     * Reads the whole body.
     *
     * Failures: `bodyTooLarge`, `memoryFull`, and `requestMalformed` if the body broke off.
     */
    async read(request: IncomingMessage, maxBytes: number): Promise<Result<HeldBody, Failure>> {
        const { headers } = request;
        if (headers["transfer-encoding"] === undefined && headers["content-length"] === undefined) {
            return ok({ bytes: undefined, release: () => undefined });
        }
        const chunks: Buffer[] = [];
        let bytes = 0;
        const release = () => {
            this.heldBytes -= bytes;
            bytes = 0;
        };
        const failure = await this.collect(request, chunk => {
            chunks.push(chunk);
            bytes += chunk.length;
            this.heldBytes += chunk.length;
            return bytes > maxBytes
                ? new Failure("bodyTooLarge")
                : this.heldBytes > this.maxHeldBytes
                ? new Failure("memoryFull")
                : undefined;
        });
        if (failure !== undefined) {
            release();
            return err(failure);
        }
        return ok({ bytes: Buffer.concat(chunks), release });
    }

    private collect(
        request: IncomingMessage,
        take: (chunk: Buffer) => Failure | undefined,
    ): Promise<Failure | undefined> {
        return new Promise(resolve => {
            request.on("data", (chunk: Buffer) => {
                const failure = take(chunk);
                if (failure !== undefined) {
                    request.removeAllListeners("data").pause();
                    resolve(failure);
                }
            });
            request.once("end", () => resolve(undefined));
            request.once("close", () => resolve(new Failure("requestMalformed", "the body broke off")));
        });
    }
}
