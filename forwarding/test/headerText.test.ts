import fc from "fast-check";
import assert from "node:assert/strict";
import { createServer, type Server, type Socket } from "node:net";
import { after, before, describe, it } from "node:test";
import { ConnectionPool } from "../src/connectionPool.js";
import { encodeHeaderText } from "../src/encodeHeaderText.js";
import { encodeRequest } from "../src/encodeRequest.js";
import { isHeaderText } from "../src/isHeaderText.js";
import type { TargetRequest } from "../src/targetRequest.js";

/** A recipient removes them. */
const OUTER_BLANKS_PATTERN = /^[\t ]+|[\t ]+$/g;
const VALUE_PATTERN = /^X-A: (.*)\r\n\r\n$/ms;

function requestWith(value: string): TargetRequest {
    return { id: "a", method: "GET", path: "/", headers: ["X-A", value], body: undefined };
}

/** Bytes of the value in the head of a request that has one header. */
function valueBytes(value: string): Buffer {
    const head = encodeRequest(requestWith(value)).toString("latin1");
    return Buffer.from(VALUE_PATTERN.exec(head)?.[1] ?? "", "latin1");
}

describe("text in the headers of a request", () => {
    it("reaches a target as it is, and not as another text", () => {
        const texts = fc.oneof(fc.string({ unit: "binary" }), fc.string({ unit: "grapheme" })).filter(isHeaderText);
        fc.assert(fc.property(texts, text => {
            const received = valueBytes(encodeHeaderText(text)).toString();
            assert.equal(received.replace(OUTER_BLANKS_PATTERN, ""), text);
        }));
    });

    it("leaves bytes beyond ASCII that a caller has sent unchanged", () => {
        const bytes = Buffer.from(Array.from({ length: 0x80 }, (_, i) => 0x80 + i));
        assert.deepEqual(valueBytes(bytes.toString("latin1")), bytes);
    });

    for (
        const [name, value] of [["a line end", "a\r\nX-B: 1"], ["a NUL", "a\0"], [
            "a letter that is not encoded",
            "č",
        ]] as const
    ) {
        it(`is not written with ${name}, which would break the head`, () => {
            assert.throws(() => encodeRequest(requestWith(value)), { code: "ERR_INVALID_CHAR" });
        });
    }
});

describe("a request that cannot be written", () => {
    const sockets: Socket[] = [];
    let server: Server;
    let pool: ConnectionPool;

    before(async () => {
        server = createServer(socket => {
            sockets.push(socket);
            socket.on("data", () => socket.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"));
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        const { port } = server.address() as { port: number; };
        const matcher = { matchResponse: () => "own" as const };
        pool = new ConnectionPool({ address: `127.0.0.1:${port}`, matcher, now: () => performance.now() });
    });
    after(() => {
        pool.close();
        sockets.forEach(socket => socket.destroy());
        server.close();
    });

    it("gives its connection back, which stayed open and unused for good", async () => {
        const { signal } = new AbortController();
        await assert.rejects(pool.exchange(() => requestWith("č"), signal, { isIdempotent: true }));
        const result = await pool.exchange(() => requestWith("a"), signal, { isIdempotent: true });
        assert.equal(result.end, "answered");
        assert.equal(sockets.length, 1);
    });
});
