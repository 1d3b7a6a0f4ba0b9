import { waitUntil } from "@pistachioreel/testing";
import assert from "node:assert/strict";
import { createServer, type ServerResponse } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { describe, it } from "node:test";
import type { Dispatcher } from "undici";
import { Attempt } from "../src/attempt.js";
import type { AttemptResult } from "../src/attemptResult.js";
import { readRequestBody } from "../src/readRequestBody.js";

const KB = 1024;
const TIMEOUT_MS = 5_000;
const ONE_BYTE = Buffer.from("z");

/** Sends a body in chunks of one byte; resolves to the code of its failure, or its length. */
async function readInSmallChunks(count: number): Promise<string | number> {
    let outcome: string | number | undefined;
    const server = createServer((request, response) => {
        void readRequestBody(request, { maxBodyBytes: 64 * KB, timeoutMs: TIMEOUT_MS }).then(body => {
            outcome = body.isErr() ? body.error.code : body.value?.head.length ?? 0;
            response.end();
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const socket = connect((server.address() as AddressInfo).port, "127.0.0.1").on("error", () => undefined);
    const head = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    socket.write(`${head}${"1\r\nz\r\n".repeat(count)}0\r\n\r\n`);
    await waitUntil(() => outcome !== undefined, TIMEOUT_MS);
    socket.destroy();
    server.close();
    server.closeAllConnections();
    return outcome!;
}

/** Passes pieces of one byte to an attempt until it gives up; returns their number and how it has ended. */
function respondInSmallPieces(
    count: number,
): { readonly pieces: number; readonly end: AttemptResult["end"] | undefined; } {
    let end: AttemptResult["end"] | undefined;
    const attempt = new Attempt({
        requestId: "1",
        method: "GET",
        response: { destroyed: true, destroy: () => undefined } as unknown as ServerResponse,
        isDetached: false,
        canSend: () => true,
        onProgress: () => undefined,
        onEnd: result => end = result.end,
    });
    const controller = {
        rawHeaders: ["transfer-encoding", "chunked"].map(text => Buffer.from(text)),
        abort: (reason: Error) => attempt.onResponseError(controller, reason),
    } as unknown as Dispatcher.DispatchController;
    attempt.onRequestStart(controller);
    attempt.onResponseStart(controller, 200);
    let pieces = 0;
    while (end === undefined && pieces < count) {
        attempt.onResponseData(controller, ONE_BYTE);
        pieces++;
    }
    return { pieces, end };
}

describe("bodies in many small pieces", () => {
    it("are refused in requests, which filled the heap with an object for each piece", async () => {
        assert.equal(await readInSmallChunks(30_000), "bodyFragmented");
        assert.equal(await readInSmallChunks(4_000), 4_000);
    });

    it("are given up in responses, which filled the heap with an object for each piece", () => {
        assert.equal(respondInSmallPieces(60_000).end, "broken");
        assert.equal(respondInSmallPieces(4_000).end, undefined);
    });
});
