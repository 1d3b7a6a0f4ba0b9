import assert from "node:assert/strict";
import { createServer, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { describe, it } from "node:test";
import { StoreConnection } from "../src/storeConnection.js";

const CALL_TIMEOUT_MS = 4_000;
const MB = 1024 * 1024;

/** Calls a store that responds in the given way; resolves to the text or the code of the failure. */
async function callStore(respond: (response: ServerResponse) => void): Promise<string> {
    const server = createServer((_request, response) => respond(response));
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as AddressInfo;
    const connection = new StoreConnection(`http://127.0.0.1:${port}`, { connections: 1 });
    const result = await connection.call({ method: "GET", path: "/" }, CALL_TIMEOUT_MS);
    await connection.close();
    server.close();
    server.closeAllConnections();
    return result.isOk() ? result.value.text : result.error.message;
}

/** Sends pieces, each as a chunk of its own, as fast as they are read, until the connection closes. */
function sendWithoutEnd(response: ServerResponse, piece: Buffer): void {
    const send = () => {
        while (!response.destroyed && response.write(piece)) {
            // Writes until the buffers are full.
        }
    };
    response.on("drain", send);
    send();
}

describe("responses of the store", () => {
    it("without an end fail, which filled the memory until the call timed out", async () => {
        assert.match(await callStore(response => sendWithoutEnd(response, Buffer.alloc(MB, "a"))), /too large/);
    });

    it("in tiny pieces fail, which filled the heap with an object for each", async () => {
        assert.match(await callStore(response => sendWithoutEnd(response, Buffer.from("a"))), /too many/);
    });

    it("in a few pieces are joined as text, also within a character", async () => {
        const bytes = Buffer.from("\u10d2\u10d4");
        const respond = (response: ServerResponse) => {
            response.write(bytes.subarray(0, 2));
            response.end(bytes.subarray(2));
        };
        assert.equal(await callStore(respond), "\u10d2\u10d4");
    });
});
