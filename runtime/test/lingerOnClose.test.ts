import assert from "node:assert/strict";
import { createServer } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { lingerOnClose } from "../src/lingerOnClose.js";

const BODY_BYTES = 8 * 1024 * 1024;

/** Sends a large body to a server that refuses it at once. Returns the response, which it reads only after 300 ms. */
async function responseToRefusedUpload(): Promise<string> {
    const server = createServer((request, response) => {
        lingerOnClose(request);
        response.writeHead(413, { "connection": "close", "content-length": 0 }).end();
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const socket = connect((server.address() as AddressInfo).port, "127.0.0.1");
    let received = "";
    const closed = new Promise<void>(resolve => socket.once("close", () => resolve()));
    socket.on("error", () => undefined);
    socket.write(`POST / HTTP/1.1\r\nhost: a\r\ncontent-length: ${BODY_BYTES}\r\n\r\n`);
    socket.write(Buffer.alloc(BODY_BYTES));
    await sleep(300);
    socket.on("data", data => received += String(data));
    await Promise.race([closed, sleep(3_000)]);
    socket.destroy();
    server.close();
    server.closeAllConnections();
    return received;
}

describe("closing the connection of a request that was refused before it was read", () => {
    it("does not lose the response to a reset while the caller is still sending", async () => {
        assert.match(await responseToRefusedUpload(), /^HTTP\/1.1 413 /);
    });
});
