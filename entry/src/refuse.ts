import { type Failure, resultCodes } from "@pistachioreel/result-code";
import type { ServerResponse } from "node:http";

interface RefusalOptions {
    readonly requestId?: string;
    readonly retryAfterSeconds?: number;
}

/** Sends an error response that states the result code, a hint and whether the request may have run. */
export function refuse(response: ServerResponse, failure: Failure, opts: RefusalOptions = {}): void {
    const { status, outcome } = resultCodes[failure.code];
    const body = JSON.stringify({
        code: failure.number,
        name: failure.code,
        outcome,
        message: failure.message,
        hint: failure.hint,
        requestId: opts.requestId,
    });
    response.writeHead(status, {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(body),
        "x-result-code": String(failure.number),
        ...(failure.isNotRun ? { "x-not-run": "1" } : {}),
        ...(opts.requestId === undefined ? {} : { "x-request-id": opts.requestId }),
        ...(opts.retryAfterSeconds === undefined ? {} : { "retry-after": String(opts.retryAfterSeconds) }),
    });
    response.end(body);
}
