import { Failure } from "@pistachioreel/result-code";
import { GrowingBuffer, PieceCount } from "@pistachioreel/runtime";
import { err, ok, type Result } from "neverthrow";
import type { IncomingMessage } from "node:http";
import type { RequestBody } from "./requestBody.js";

interface ReadOptions {
    /** Largest body that the route accepts, in bytes. */
    readonly maxBodyBytes: number;
    /** Time within which the body, or its first 64 KiB, must arrive, in ms. */
    readonly timeoutMs: number;
}

/** Bodies up to this size are buffered, so that they can be sent again. */
const MAX_BUFFERED_BODY_BYTES = 64 * 1024;

/**
 * Reads the body up to 64 KiB; what was read of a larger one is put back into the stream. `undefined` without a body.
 *
 * Failures, all before a byte was sent to a target: `bodyTooLarge`, `bodyFragmented`, `requestTimeout`, and `requestMalformed` if the
 * connection closed before the end of the body.
 */
export async function readRequestBody(
    request: IncomingMessage,
    opts: ReadOptions,
): Promise<Result<RequestBody | undefined, Failure>> {
    const hasBody = "transfer-encoding" in request.headers || Number(request.headers["content-length"] ?? 0) > 0;
    return hasBody ? readHead(request, opts) : ok(undefined);
}

function readHead(request: IncomingMessage, opts: ReadOptions): Promise<Result<RequestBody, Failure>> {
    return new Promise(resolve => {
        const body = new GrowingBuffer();
        const pieces = new PieceCount();
        const finish = (result: Result<RequestBody, Failure>) => {
            clearTimeout(timer);
            request.off("data", onData).off("end", onEnd).off("close", onClose).off("error", onClose);
            resolve(result);
        };
        const onData = (chunk: Buffer) => {
            body.append(chunk);
            if (body.size > opts.maxBodyBytes) {
                request.pause();
                finish(err(new Failure("bodyTooLarge")));
            }
            else if (pieces.add(chunk.length)) {
                request.pause();
                finish(err(new Failure("bodyFragmented")));
            }
            else if (body.size > MAX_BUFFERED_BODY_BYTES) {
                request.pause();
                const head = body.bytes;
                request.unshift(head);
                finish(ok({ head: head.subarray(0, MAX_BUFFERED_BODY_BYTES), isComplete: false }));
            }
        };
        const onEnd = () => finish(ok({ head: body.bytes, isComplete: true }));
        const onClose = () =>
            finish(err(new Failure("requestMalformed", "the connection closed before the body was complete")));
        const timer = setTimeout(
            () => finish(err(new Failure("requestTimeout", "the request body did not arrive in time"))),
            opts.timeoutMs,
        );
        request.on("data", onData).once("end", onEnd).once("close", onClose).once("error", onClose);
    });
}
