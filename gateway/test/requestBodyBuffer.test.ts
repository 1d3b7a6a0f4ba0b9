import assert from "node:assert/strict";
import type { IncomingMessage } from "node:http";
import { Readable } from "node:stream";
import { describe, it } from "node:test";
import { RequestBodyBuffer } from "../src/requestBodyBuffer.js";

function requestWith(bytes: number): IncomingMessage {
    const stream = Readable.from(bytes > 0 ? [Buffer.alloc(bytes)] : []);
    return Object.assign(stream, { headers: { "content-length": String(bytes) } }) as unknown as IncomingMessage;
}

describe("bodies that are held", () => {
    it("guards against bodies that together fill the memory, and takes more when some are released", async () => {
        const bodies = new RequestBodyBuffer(1_000);
        const first = (await bodies.read(requestWith(800), 5_000))._unsafeUnwrap();
        assert.equal((await bodies.read(requestWith(300), 5_000))._unsafeUnwrapErr().code, "memoryFull");
        first.release();
        assert.equal((await bodies.read(requestWith(300), 5_000))._unsafeUnwrap().bytes?.length, 300);
    });

    it("tells a body that is too large from a memory that is full", async () => {
        const bodies = new RequestBodyBuffer(1_000);
        assert.equal((await bodies.read(requestWith(600), 500))._unsafeUnwrapErr().code, "bodyTooLarge");
        assert.ok((await bodies.read(requestWith(900), 5_000)).isOk(), "what was refused is not held");
    });
});
