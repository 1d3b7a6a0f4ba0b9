import { Failure } from "@pistachioreel/result-code";
import { err, ok, type Result } from "neverthrow";
import type { IncomingMessage } from "node:http";

/**
 * Reads the whole body, so that it can be sent to another target. `undefined` if the request has none.
 *
 * Failures: `bodyTooLarge`, and `requestMalformed` if the body broke off.
 */
export function readBody(request: IncomingMessage, maxBytes: number): Promise<Result<Buffer | undefined, Failure>> {
    const { headers } = request;
    if (headers["transfer-encoding"] === undefined && headers["content-length"] === undefined) {
        return Promise.resolve(ok(undefined));
    }
    if (Number(headers["content-length"] ?? 0) > maxBytes) {
        return Promise.resolve(err(new Failure("bodyTooLarge")));
    }
    return new Promise(resolve => {
        const chunks: Buffer[] = [];
        let bytes = 0;
        request.on("data", (chunk: Buffer) => {
            bytes += chunk.length;
            chunks.push(chunk);
            if (bytes > maxBytes) {
                request.pause();
                resolve(err(new Failure("bodyTooLarge")));
            }
        });
        request.once("end", () => resolve(ok(Buffer.concat(chunks))));
        request.once("close", () => resolve(err(new Failure("requestMalformed", "the body broke off"))));
    });
}
