import { SharedMemory } from "@pistachioreel/runtime";
import assert from "node:assert/strict";
import type { IncomingMessage } from "node:http";
import { Readable } from "node:stream";
import { describe, it } from "node:test";
import { RequestBodyBuffer } from "../src/requestBodyBuffer.js";

function requestWith(bytes: number): IncomingMessage {
    const stream = Readable.from(bytes > 0 ? [Buffer.alloc(bytes)] : []);
    return Object.assign(stream, { headers: { "content-length": String(bytes) } }) as unknown as IncomingMessage;
}

function createBuffer(maxBytes: number): RequestBodyBuffer {
    return new RequestBodyBuffer(new SharedMemory({ maxBytes }));
}

function readOptions(opts: { maxBytes?: number; timeoutMs?: number; holder?: string; } = {}) {
    return { holder: "a", maxBytes: 5_000, timeoutMs: 1_000, ...opts };
}

/** A request that sends some bytes of its body and then nothing. */
function requestThatStalls(bytes: number): IncomingMessage {
    const stream = new Readable({ read: () => undefined });
    stream.push(Buffer.alloc(bytes));
    return Object.assign(stream, { headers: { "content-length": String(2 * bytes) } }) as unknown as IncomingMessage;
}

describe("RequestBodyBuffer", () => {
    it("limits the size of all bodies together, and accepts more after some are released", async () => {
        const buffer = createBuffer(1_000);
        const first = (await buffer.read(requestWith(700), readOptions()))
            ._unsafeUnwrap();
        assert.equal(
            (await buffer.read(requestWith(300), readOptions()))._unsafeUnwrapErr()
                .code,
            "memoryFull",
        );
        first.release();
        assert.equal(
            (await buffer.read(requestWith(300), readOptions()))._unsafeUnwrap()
                .bytes?.length,
            300,
        );
    });

    it("distinguishes a body that is too large from full memory", async () => {
        const buffer = createBuffer(1_000);
        assert.equal(
            (await buffer.read(requestWith(600), readOptions({ maxBytes: 500 })))._unsafeUnwrapErr()
                .code,
            "bodyTooLarge",
        );
        assert.ok(
            (await buffer.read(requestWith(700), readOptions())).isOk(),
            "the refused body was released",
        );
    });

    it("frees what it holds of a body that does not arrive in time, which filled the memory for others", async () => {
        const buffer = createBuffer(4_200);
        const stalled = requestThatStalls(1_500);
        const result = await buffer.read(stalled, readOptions({ timeoutMs: 50 }));
        assert.equal(result._unsafeUnwrapErr().code, "requestTimeout");
        assert.ok((await buffer.read(requestWith(2_900), readOptions())).isOk());
    });

    it("keeps memory for others from one sender, who had the uploads of all others refused", async () => {
        const buffer = createBuffer(1_000);
        assert.ok((await buffer.read(requestWith(700), readOptions())).isOk());
        assert.ok((await buffer.read(requestWith(100), readOptions())).isErr());
        assert.ok((await buffer.read(requestWith(250), readOptions({ holder: "b" }))).isOk());
    });
});
