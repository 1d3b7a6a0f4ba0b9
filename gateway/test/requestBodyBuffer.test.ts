import assert from "node:assert/strict";
import type { IncomingMessage } from "node:http";
import { Readable } from "node:stream";
import { describe, it } from "node:test";
import { RequestBodyBuffer } from "../src/requestBodyBuffer.js";

function requestWith(bytes: number): IncomingMessage {
    const stream = Readable.from(bytes > 0 ? [Buffer.alloc(bytes)] : []);
    return Object.assign(stream, { headers: { "content-length": String(bytes) } }) as unknown as IncomingMessage;
}

describe("RequestBodyBuffer", () => {
    it("limits the size of all bodies together, and accepts more after some are released", async () => {
        const buffer = new RequestBodyBuffer(1_000);
        const first = (await buffer.read(requestWith(800), { maxBytes: 5_000 }))._unsafeUnwrap();
        assert.equal((await buffer.read(requestWith(300), { maxBytes: 5_000 }))._unsafeUnwrapErr().code, "memoryFull");
        first.release();
        assert.equal((await buffer.read(requestWith(300), { maxBytes: 5_000 }))._unsafeUnwrap().bytes?.length, 300);
    });

    it("distinguishes a body that is too large from full memory", async () => {
        const buffer = new RequestBodyBuffer(1_000);
        assert.equal((await buffer.read(requestWith(600), { maxBytes: 500 }))._unsafeUnwrapErr().code, "bodyTooLarge");
        assert.ok((await buffer.read(requestWith(900), { maxBytes: 5_000 })).isOk(), "the refused body was released");
    });
});
