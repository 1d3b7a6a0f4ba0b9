import assert from "node:assert/strict";
import type { IncomingMessage } from "node:http";
import { Readable } from "node:stream";
import { describe, it } from "node:test";
import { RequestBodyBuffer } from "../src/requestBodyBuffer.js";

function requestWith(bytes: number): IncomingMessage {
    const stream = Readable.from(bytes > 0 ? [Buffer.alloc(bytes)] : []);
    return Object.assign(stream, { headers: { "content-length": String(bytes) } }) as unknown as IncomingMessage;
}

/** A request that sends some bytes of its body and then nothing. */
function requestThatStalls(bytes: number): IncomingMessage {
    const stream = new Readable({ read: () => undefined });
    stream.push(Buffer.alloc(bytes));
    return Object.assign(stream, { headers: { "content-length": String(2 * bytes) } }) as unknown as IncomingMessage;
}

describe("RequestBodyBuffer", () => {
    it("limits the size of all bodies together, and accepts more after some are released", async () => {
        const buffer = new RequestBodyBuffer(1_000);
        const first = (await buffer.read(requestWith(800), { maxBytes: 5_000, timeoutMs: 1_000 }))._unsafeUnwrap();
        assert.equal(
            (await buffer.read(requestWith(300), { maxBytes: 5_000, timeoutMs: 1_000 }))._unsafeUnwrapErr().code,
            "memoryFull",
        );
        first.release();
        assert.equal(
            (await buffer.read(requestWith(300), { maxBytes: 5_000, timeoutMs: 1_000 }))._unsafeUnwrap().bytes?.length,
            300,
        );
    });

    it("distinguishes a body that is too large from full memory", async () => {
        const buffer = new RequestBodyBuffer(1_000);
        assert.equal(
            (await buffer.read(requestWith(600), { maxBytes: 500, timeoutMs: 1_000 }))._unsafeUnwrapErr().code,
            "bodyTooLarge",
        );
        assert.ok(
            (await buffer.read(requestWith(900), { maxBytes: 5_000, timeoutMs: 1_000 })).isOk(),
            "the refused body was released",
        );
    });

    it("frees what it holds of a body that does not arrive in time, which filled the memory for others", async () => {
        const buffer = new RequestBodyBuffer(4_000);
        const stalled = requestThatStalls(1_500);
        const result = await buffer.read(stalled, { maxBytes: 5_000, timeoutMs: 50 });
        assert.equal(result._unsafeUnwrapErr().code, "requestTimeout");
        assert.ok((await buffer.read(requestWith(3_900), { maxBytes: 5_000, timeoutMs: 1_000 })).isOk());
    });
});
