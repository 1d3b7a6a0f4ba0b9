import { Failure } from "@pistachioreel/result-code";
import { SharedMemory } from "@pistachioreel/runtime";
import { liveBytes, waitUntil } from "@pistachioreel/testing";
import assert from "node:assert/strict";
import { createServer, type IncomingMessage } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { after, describe, it } from "node:test";
import { RequestBodyBuffer } from "../src/requestBodyBuffer.js";

const MB = 1024 * 1024;
/** Heap and buffers that a body may hold for each of its bytes on the wire. */
const MAX_HELD_RATIO = 3;
/** Bytes on the wire after which a body in chunks of one byte is given up. */
const MAX_ONE_BYTE_CHUNKS_BYTES = 64 * 1024;
const READ_TIMEOUT_MS = 10_000;
const PIECES_BYTES = 6 * 1024;
const CHUNKED_HEAD = "POST / HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n";

describe("bodies of requests in small pieces", () => {
    const open: { stop(): void; }[] = [];
    after(() => open.forEach(part => part.stop()));

    /** A server that reads bodies, and a connection to it. */
    async function connectToReader() {
        const buffer = new RequestBodyBuffer(new SharedMemory({ maxBytes: 64 * MB }));
        const requests: IncomingMessage[] = [];
        const results: (Failure | Buffer | undefined)[] = [];
        const server = createServer((request, response) => {
            requests.push(request);
            void buffer.read(request, { holder: "a", maxBytes: 32 * MB, timeoutMs: READ_TIMEOUT_MS }).then(result => {
                results.push(result.isOk() ? result.value.bytes : result.error);
                response.end();
            });
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        const socket = connect((server.address() as AddressInfo).port, "127.0.0.1").on("error", () => undefined);
        open.push({ stop: () => server.close() }, { stop: () => socket.destroy() });
        return { socket, requests, results };
    }

    /** Sends the bytes and waits until the server has read them. */
    async function send(socket: Socket, requests: readonly IncomingMessage[], bytes: string): Promise<void> {
        socket.write(bytes);
        await waitUntil(() => (requests[0]?.socket.bytesRead ?? 0) >= socket.bytesWritten, READ_TIMEOUT_MS);
    }

    it("hold little more memory than their bytes, which ended whole processes", async () => {
        const { socket, requests } = await connectToReader();
        await send(socket, requests, CHUNKED_HEAD);
        const before = await liveBytes();
        const piece = `10\r\n${"z".repeat(16)}\r\n`;
        const sent = piece.repeat(MB / piece.length);
        await send(socket, requests, sent);
        const held = await liveBytes() - before;
        assert.ok(held <= MAX_HELD_RATIO * sent.length, `${held} bytes for ${sent.length} on the wire`);
    });

    it("are refused early, which left a host no time for the requests of others", async () => {
        const { socket, requests, results } = await connectToReader();
        await send(socket, requests, CHUNKED_HEAD);
        for (let sent = 0; results.length === 0 && sent < MB; sent += PIECES_BYTES) {
            await send(socket, requests, "1\r\nz\r\n".repeat(PIECES_BYTES / 6));
        }
        const [result] = results;
        assert.equal(result instanceof Failure && result.code, "bodyFragmented");
        assert.ok((requests[0]?.socket.bytesRead ?? 0) <= MAX_ONE_BYTE_CHUNKS_BYTES);
    });

    for (const [size, count] of [[1, 4_000], [16, 60_000]] as const) {
        it(`are accepted if they are ${count} of ${size} bytes, as callers that write small values send them`, async () => {
            const { socket, results } = await connectToReader();
            socket.write(CHUNKED_HEAD + `${size.toString(16)}\r\n${"z".repeat(size)}\r\n`.repeat(count) + "0\r\n\r\n");
            await waitUntil(() => results.length > 0, READ_TIMEOUT_MS);
            assert.equal((results[0] as Buffer).length, size * count);
        });
    }
});
