import assert from "node:assert/strict";
import { createServer } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { lingerOnClose } from "../src/lingerOnClose.js";

const BODY_BYTES = 8 * 1024 * 1024;
/** More than the buffers of the operating system hold. */
const CHUNKS_BYTES = 14 * 1024 * 1024;

interface UploadOptions {
    readonly head: string;
    readonly pieces: readonly Buffer[];
    /** Pause after each piece, in ms. */
    readonly pauseMs: number;
}

/** Sends a body to a server that refuses it at once. Returns the response, which it reads only after the whole body and a pause. */
async function responseToRefusedUpload({ head, pieces, pauseMs }: UploadOptions): Promise<string> {
    const server = createServer((request, response) => {
        // A listener that reads the body keeps Node from dropping it by itself.
        request.on("data", () => request.removeAllListeners("data").pause());
        lingerOnClose(request);
        response.writeHead(413, { "connection": "close", "content-length": 0 }).end();
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const socket = connect((server.address() as AddressInfo).port, "127.0.0.1");
    let received = "";
    const closed = new Promise<void>(resolve => socket.once("close", () => resolve()));
    socket.on("error", () => undefined);
    socket.write(`POST / HTTP/1.1\r\nhost: a\r\n${head}\r\n\r\n`);
    for (const piece of pieces) {
        await Promise.race([closed, new Promise(resolve => socket.write(piece, resolve))]);
        await sleep(pauseMs);
    }
    socket.on("data", data => received += String(data));
    await Promise.race([closed, sleep(3_000)]);
    socket.destroy();
    server.close();
    server.closeAllConnections();
    return received;
}

describe("closing the connection of a request that was refused before it was read", () => {
    it("does not lose the response to a reset while the caller is still sending", async () => {
        const upload = { head: `content-length: ${BODY_BYTES}`, pieces: [Buffer.alloc(BODY_BYTES)], pauseMs: 300 };
        assert.match(await responseToRefusedUpload(upload), /^HTTP\/1.1 413 /);
    });

    it("does not lose the response to a caller that sends for seconds before it reads", async () => {
        const pieces = Array.from({ length: 10 }, () => Buffer.alloc(64 * 1024));
        const upload = { head: `content-length: ${10 * 64 * 1024}`, pieces, pauseMs: 250 };
        assert.match(await responseToRefusedUpload(upload), /^HTTP\/1.1 413 /);
    });

    it("does not lose the response to a caller that sends small chunks, at which the parser stopped reading", async () => {
        const pieces = [Buffer.from("1\r\nz\r\n".repeat(CHUNKS_BYTES / 6))];
        const upload = { head: "transfer-encoding: chunked", pieces, pauseMs: 300 };
        assert.match(await responseToRefusedUpload(upload), /^HTTP\/1.1 413 /);
    });
});
